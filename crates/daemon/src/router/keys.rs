//! Idempotency keys that this router has sent to servers.

use std::collections::{HashMap, VecDeque};

use mulberryyoke_model::{KeyId, Millis, ServerId};
use parking_lot::Mutex;

/// Maximum number of keys stored per server.
const MAX_KEYS: usize = 65_536;

#[derive(Debug, Default)]
struct Sent {
    keys: VecDeque<(Millis, KeyId)>,
    /// Keys sent up to this time may have been evicted.
    evicted_until: Millis,
}

impl Sent {
    fn recent(&self, since: Millis) -> Vec<KeyId> {
        let recent = self.keys.iter().filter(|&&(at, _)| at >= since);
        recent.map(|&(_, key)| key).collect()
    }
}

/// Sent keys by server, kept for the retention time unless known not to have run.
#[derive(Debug)]
pub(crate) struct Keys {
    started_at: Millis,
    retention_ms: u64,
    sent: Mutex<HashMap<ServerId, Sent>>,
}

impl Keys {
    pub(crate) fn new(started_at: Millis, retention_ms: u64) -> Self {
        Self {
            started_at,
            retention_ms,
            sent: Mutex::default(),
        }
    }

    /// Records a key that is about to be sent.
    pub(crate) fn remember(&self, server: ServerId, key: KeyId, now: Millis) {
        let mut sent = self.sent.lock();
        let sent = sent.entry(server).or_default();
        let oldest = now.saturating_sub(self.retention_ms);
        while sent.keys.front().is_some_and(|&(at, _)| at < oldest) {
            sent.keys.pop_front();
        }
        if sent.keys.len() == MAX_KEYS
            && let Some((at, _)) = sent.keys.pop_front()
        {
            sent.evicted_until = at;
        }
        sent.keys.push_back((now, key));
    }

    /// Removes the latest record of a key that is known not to have run.
    pub(crate) fn forget(&self, server: ServerId, key: KeyId) {
        let mut sent = self.sent.lock();
        let Some(sent) = sent.get_mut(&server) else {
            return;
        };
        if let Some(index) = sent.keys.iter().rposition(|&(_, sent_key)| sent_key == key) {
            sent.keys.remove(index);
        }
    }

    /// Returns whether the list is complete, and the keys sent to a server since `since`.
    pub(crate) fn recall(&self, server: ServerId, since: Millis) -> (bool, Vec<KeyId>) {
        let sent = self.sent.lock();
        let Some(sent) = sent.get(&server) else {
            return (true, Vec::new());
        };
        (sent.evicted_until < since, sent.recent(since))
    }

    /// Returns the time from which the list is complete, and the keys sent to a server
    /// since `since`.
    pub(crate) fn since(&self, server: ServerId, since: Millis) -> (Millis, Vec<KeyId>) {
        let sent = self.sent.lock();
        let Some(sent) = sent.get(&server) else {
            return (self.started_at, Vec::new());
        };
        (self.started_at.max(sent.evicted_until), sent.recent(since))
    }
}
