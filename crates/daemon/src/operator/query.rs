//! Answers that change nothing.

use mulberryyoke_command as command;
use mulberryyoke_command::answer::{Answer, Code, Item, Refusal, Role, Status, Write};
use mulberryyoke_model::{Config, Object};

use super::held::Held;
use super::router_state::RouterState;

/// The state of the fleet.
pub(crate) fn status(source: &dyn RouterState, query: &command::Status) -> Answer {
    let mut nodes = source.nodes();
    nodes.retain(|node| query.behind.is_none_or(|revision| node.lags(revision)));
    nodes.sort_by(|a, b| {
        (a.role == Role::Sidecar, &a.name).cmp(&(b.role == Role::Sidecar, &b.name))
    });
    Answer::Status(Status {
        router: source.name().to_owned(),
        revision: source.config().revision,
        kv: source.is_kv_up(),
        nodes,
        unseen: source.unseen(),
        tally: source.tally(),
    })
}

/// The object of one key.
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

/// The objects whose keys start with `start` and that `wanted` accepts.
pub(crate) fn items(config: &Config, start: &str, wanted: impl Fn(&Object) -> bool) -> Answer {
    let changes = config.changes.range(start.to_owned()..);
    let found = changes.take_while(|(key, _)| key.starts_with(start));
    let items = found.filter_map(|(key, change)| {
        let object = change.object.as_ref().filter(|object| wanted(object))?;
        Some(Item {
            key: key.clone(),
            revision: change.revision,
            object: object.clone(),
        })
    });
    Answer::Items(items.collect())
}

/// The writes of keys, newest first.
pub(crate) fn history(listing: &[(String, Held)], limit: u32) -> Answer {
    let mut writes: Vec<Write> = listing
        .iter()
        .flat_map(|(key, held)| writes(key, held))
        .collect();
    writes.sort_by_key(|write| std::cmp::Reverse(write.revision));
    writes.truncate(usize::try_from(limit).unwrap_or(usize::MAX));
    Answer::History(writes)
}

fn writes(key: &str, held: &Held) -> Vec<Write> {
    let Some((entry, revision)) = held.found() else {
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
