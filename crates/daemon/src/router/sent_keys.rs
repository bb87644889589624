//! Idempotency keys that this router has sent to servers.

use std::collections::{HashMap, VecDeque};

use mulberryyoke_model::{KeyId, Millis, ServerId};
use parking_lot::Mutex;

/// Maximum number of keys stored per server.
const MAX_KEYS: usize = 65_536;

#[derive(Debug, Default)]
struct History {
    keys: VecDeque<(Millis, KeyId)>,
    /// Keys sent up to this time may have been evicted.
    evicted_until: Millis,
}

impl History {
    fn recent(&self, since: Millis) -> Vec<KeyId> {
        let recent = self.keys.iter().filter(|&&(at, _)| at >= since);
        recent.map(|&(_, key)| key).collect()
    }
}

/// Sent keys by server, kept for the retention time unless known not to have run.
#[derive(Debug)]
pub(crate) struct SentKeys {
    started_at: Millis,
    retention_ms: u64,
    by_server: Mutex<HashMap<ServerId, History>>,
}

impl SentKeys {
    pub(crate) fn new(started_at: Millis, retention_ms: u64) -> Self {
        Self {
            started_at,
            retention_ms,
            by_server: Mutex::default(),
        }
    }

    /// Records a key that is about to be sent.
    pub(crate) fn record(&self, server: ServerId, key: KeyId, now: Millis) {
        let mut by_server = self.by_server.lock();
        let history = by_server.entry(server).or_default();
        let oldest = now.saturating_sub(self.retention_ms);
        while history.keys.front().is_some_and(|&(at, _)| at < oldest) {
            history.keys.pop_front();
        }
        if history.keys.len() == MAX_KEYS
            && let Some((at, _)) = history.keys.pop_front()
        {
            history.evicted_until = at;
        }
        history.keys.push_back((now, key));
    }

    /// Removes the latest record of a key that is known not to have run.
    pub(crate) fn remove(&self, server: ServerId, key: KeyId) {
        let mut by_server = self.by_server.lock();
        let Some(history) = by_server.get_mut(&server) else {
            return;
        };
        if let Some(index) = history.keys.iter().rposition(|&(_, sent)| sent == key) {
            history.keys.remove(index);
        }
    }

    /// Returns whether the list is complete, and the keys sent to a server since `since`.
    pub(crate) fn for_sidecar(&self, server: ServerId, since: Millis) -> (bool, Vec<KeyId>) {
        let by_server = self.by_server.lock();
        let Some(history) = by_server.get(&server) else {
            return (true, Vec::new());
        };
        (history.evicted_until < since, history.recent(since))
    }

    /// Returns the time from which the list is complete, and the keys sent to a server
    /// since `since`.
    pub(crate) fn for_peer(&self, server: ServerId, since: Millis) -> (Millis, Vec<KeyId>) {
        let by_server = self.by_server.lock();
        let Some(history) = by_server.get(&server) else {
            return (self.started_at, Vec::new());
        };
        (
            self.started_at.max(history.evicted_until),
            history.recent(since),
        )
    }
}
