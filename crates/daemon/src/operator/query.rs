//! Read-only commands.

use mulberryyoke_command as command;
use mulberryyoke_command::api::{
    CommandError, ConfigEntry, ErrorCode, HistoryEntry, Output, Role, Status,
};
use mulberryyoke_model::{Config, Object};

use super::router_state::RouterState;
use super::snapshot::Snapshot;

/// State of the fleet.
pub(crate) fn status(router: &dyn RouterState, query: &command::Status) -> Output {
    let mut nodes = router.nodes();
    nodes.retain(|node| query.behind.is_none_or(|revision| node.is_behind(revision)));
    nodes.sort_by(|a, b| {
        (a.role == Role::Sidecar, &a.name).cmp(&(b.role == Role::Sidecar, &b.name))
    });
    Output::Status(Status {
        router: router.name().to_owned(),
        revision: router.config().revision,
        kv: router.is_kv_up(),
        nodes,
        unseen: router.unseen(),
        tally: router.tally(),
    })
}

/// Object under a key.
pub(crate) fn item(config: &Config, key: &str) -> Result<Output, CommandError> {
    let Output::Items(mut items) = items(config, key, |_| true) else {
        return Ok(Output::Items(Vec::new()));
    };
    items.retain(|item| item.key == key);
    if items.is_empty() {
        let message = format!("{key}: does not exist");
        return Err(CommandError::new(ErrorCode::Missing, message));
    }
    Ok(Output::Items(items))
}

/// Objects that `filter` accepts under keys that start with `prefix`.
pub(crate) fn items(config: &Config, prefix: &str, filter: impl Fn(&Object) -> bool) -> Output {
    let changes = config.changes.range(prefix.to_owned()..);
    let found = changes.take_while(|(key, _)| key.starts_with(prefix));
    let items = found.filter_map(|(key, change)| {
        let object = change.object.as_ref().filter(|object| filter(object))?;
        Some(ConfigEntry {
            key: key.clone(),
            revision: change.revision,
            object: object.clone(),
        })
    });
    Output::Items(items.collect())
}

/// Recorded writes of the listed keys, newest first.
pub(crate) fn history(listing: &[(String, Snapshot)], limit: u32) -> Output {
    let mut writes: Vec<HistoryEntry> = listing
        .iter()
        .flat_map(|(key, current)| writes(key, current))
        .collect();
    writes.sort_by_key(|write| std::cmp::Reverse(write.revision));
    writes.truncate(usize::try_from(limit).unwrap_or(usize::MAX));
    Output::History(writes)
}

fn writes(key: &str, current: &Snapshot) -> Vec<HistoryEntry> {
    let Some((entry, revision)) = current.versioned_entry() else {
        return Vec::new();
    };
    let last = HistoryEntry {
        key: key.to_owned(),
        revision,
        operator: entry.operator.clone(),
        command: entry.command,
        at: entry.at,
        words: entry.words.clone(),
    };
    let earlier = entry.earlier.iter().map(|write| HistoryEntry {
        key: key.to_owned(),
        revision: write.revision,
        operator: write.operator.clone(),
        command: write.command,
        at: write.at,
        words: write.words.clone(),
    });
    std::iter::once(last).chain(earlier).collect()
}
