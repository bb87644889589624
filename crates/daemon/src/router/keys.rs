//! Idempotency keys that this router sent to servers.

use std::collections::{HashMap, VecDeque};

use mulberryyoke_model::{KeyId, Millis, ServerId};
use parking_lot::Mutex;

/// Keys remembered for one server.
const MOST: usize = 65_536;

#[derive(Debug, Default)]
struct Sent {
    keys: VecDeque<(Millis, KeyId)>,
    /// Up to this instant keys may be missing.
    lost_until: Millis,
}

impl Sent {
    fn recent(&self, since: Millis) -> Vec<KeyId> {
        let recent = self.keys.iter().filter(|&&(at, _)| at >= since);
        recent.map(|&(_, key)| key).collect()
    }
}

/// Keys sent and not proved not run, by server, for the retention time.
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

    /// Remembers a key that is about to be sent.
    pub(crate) fn remember(&self, server: ServerId, key: KeyId, now: Millis) {
        let mut sent = self.sent.lock();
        let sent = sent.entry(server).or_default();
        let oldest = now.saturating_sub(self.retention_ms);
        while sent.keys.front().is_some_and(|&(at, _)| at < oldest) {
            sent.keys.pop_front();
        }
        if sent.keys.len() == MOST
            && let Some((at, _)) = sent.keys.pop_front()
        {
            sent.lost_until = at;
        }
        sent.keys.push_back((now, key));
    }

    /// Forgets one sending of a key that is proved not to have run.
    pub(crate) fn forget(&self, server: ServerId, key: KeyId) {
        let mut sent = self.sent.lock();
        let Some(sent) = sent.get_mut(&server) else {
            return;
        };
        if let Some(index) = sent.keys.iter().rposition(|&(_, held)| held == key) {
            sent.keys.remove(index);
        }
    }

    /// Keys sent to a server since an instant, and whether that is all of them.
    pub(crate) fn recall(&self, server: ServerId, since: Millis) -> (bool, Vec<KeyId>) {
        let sent = self.sent.lock();
        let Some(sent) = sent.get(&server) else {
            return (true, Vec::new());
        };
        (sent.lost_until < since, sent.recent(since))
    }

    /// Keys sent to a server since an instant, and from when on none is missing.
    pub(crate) fn since(&self, server: ServerId, since: Millis) -> (Millis, Vec<KeyId>) {
        let sent = self.sent.lock();
        let Some(sent) = sent.get(&server) else {
            return (self.started_at, Vec::new());
        };
        (self.started_at.max(sent.lost_until), sent.recent(since))
    }
}
