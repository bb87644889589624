//! Read-only commands.

use mulberryyoke_command as command;
use mulberryyoke_command::answer::{Answer, Code, Item, Refusal, Role, Status, Write};
use mulberryyoke_model::{Config, Object};

use super::router_state::RouterState;
use super::snapshot::Snapshot;

/// State of the fleet.
pub(crate) fn status(router: &dyn RouterState, query: &command::Status) -> Answer {
    let mut nodes = router.nodes();
    nodes.retain(|node| query.behind.is_none_or(|revision| node.lags(revision)));
    nodes.sort_by(|a, b| {
        (a.role == Role::Sidecar, &a.name).cmp(&(b.role == Role::Sidecar, &b.name))
    });
    Answer::Status(Status {
        router: router.name().to_owned(),
        revision: router.config().revision,
        kv: router.is_kv_up(),
        nodes,
        unseen: router.unseen(),
        tally: router.tally(),
    })
}

/// Object under a key.
pub(crate) fn item(config: &Config, key: &str) -> Result<Answer, Refusal> {
    let Answer::Items(mut items) = items(config, key, |_| true) else {
        return Ok(Answer::Items(Vec::new()));
    };
    items.retain(|item| item.key == key);
    if items.is_empty() {
        let message = format!("{key}: does not exist");
        return Err(Refusal::new(Code::Missing, message));
    }
    Ok(Answer::Items(items))
}

/// Objects that `filter` accepts under keys that start with `prefix`.
pub(crate) fn items(config: &Config, prefix: &str, filter: impl Fn(&Object) -> bool) -> Answer {
    let changes = config.changes.range(prefix.to_owned()..);
    let found = changes.take_while(|(key, _)| key.starts_with(prefix));
    let items = found.filter_map(|(key, change)| {
        let object = change.object.as_ref().filter(|object| filter(object))?;
        Some(Item {
            key: key.clone(),
            revision: change.revision,
            object: object.clone(),
        })
    });
    Answer::Items(items.collect())
}

/// Recorded writes of the listed keys, newest first.
pub(crate) fn history(listing: &[(String, Snapshot)], limit: u32) -> Answer {
    let mut writes: Vec<Write> = listing
        .iter()
        .flat_map(|(key, current)| writes(key, current))
        .collect();
    writes.sort_by_key(|write| std::cmp::Reverse(write.revision));
    writes.truncate(usize::try_from(limit).unwrap_or(usize::MAX));
    Answer::History(writes)
}

fn writes(key: &str, current: &Snapshot) -> Vec<Write> {
    let Some((entry, revision)) = current.versioned_entry() else {
        return Vec::new();
    };
    let last = Write {
        key: key.to_owned(),
        revision,
        operator: entry.operator.clone(),
        command: entry.command,
        at: entry.at,
        words: entry.words.clone(),
    };
    let earlier = entry.earlier.iter().map(|write| Write {
        key: key.to_owned(),
        revision: write.revision,
        operator: write.operator.clone(),
        command: write.command,
        at: write.at,
        words: write.words.clone(),
    });
    std::iter::once(last).chain(earlier).collect()
}
