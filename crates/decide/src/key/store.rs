//! State of idempotency keys.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use mulberryyoke_model::{Incarnation, KeyId, Millis, Outcome};

use super::{PriorRecord, Recovery, Response, SavedState};

/// Maximum number of keys stored.
const MAX_KEYS: usize = 65_536;

/// Maximum memory for stored responses, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// State of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// Never seen: the request may run.
    Unknown,
    /// The request may have run in an earlier incarnation.
    Indeterminate,
    /// Withdrawn: the request must not run here.
    Withdrawn,
    /// The request is running.
    Running,
    /// The request completed; holds the response if it is stored.
    Completed(Option<Arc<Response>>),
    /// The request started and was interrupted.
    Interrupted,
}

impl KeyState {
    fn to_saved(&self) -> SavedState {
        match self {
            Self::Completed(_) => SavedState::Completed,
            Self::Interrupted => SavedState::Interrupted,
            Self::Withdrawn => SavedState::Withdrawn,
            Self::Unknown | Self::Indeterminate | Self::Running => SavedState::Indeterminate,
        }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    state: KeyState,
    expires_at: Millis,
}

/// Idempotency keys, each stored for the retention time after its last change; a
/// running one for as long as it runs.
#[derive(Clone, Debug)]
pub struct Store {
    entries: HashMap<KeyId, Entry>,
    /// Keys in order of expiry; outdated pairs are skipped.
    expiry: VecDeque<(Millis, KeyId)>,
    /// Memory used by stored responses.
    response_bytes: usize,
    retention_ms: Millis,
    recovery: Recovery,
}

impl Store {
    /// An empty store of an incarnation that began at `started_at`.
    #[must_use]
    pub fn new(retention_ms: Millis, started_at: Millis) -> Self {
        Self {
            entries: HashMap::new(),
            expiry: VecDeque::new(),
            response_bytes: 0,
            retention_ms,
            recovery: Recovery::new(started_at + retention_ms),
        }
    }

    /// State of a key.
    pub fn state(&mut self, key: KeyId, now: Millis) -> KeyState {
        self.expire(now);
        match self.entries.get(&key) {
            Some(entry) => entry.state.clone(),
            None if self.is_recovering(now) => KeyState::Indeterminate,
            None => KeyState::Unknown,
        }
    }

    /// Whether a key is stored: handled here, restored or reported by a router.
    #[must_use]
    pub fn contains(&self, key: KeyId) -> bool {
        self.entries.contains_key(&key)
    }

    /// Whether a key that is not stored may have run in an earlier incarnation.
    #[must_use]
    pub fn is_recovering(&self, now: Millis) -> bool {
        self.recovery.is_pending(now)
    }

    /// Whether a key that only the given router can have sent may have been started
    /// in an earlier incarnation.
    #[must_use]
    pub fn is_recovering_for(&self, origin: Incarnation, now: Millis) -> bool {
        self.recovery.is_pending_for(origin, now)
    }

    /// Number of routers that have not reported yet which keys they sent to earlier
    /// incarnations.
    #[must_use]
    pub fn missing_reports(&self) -> usize {
        self.recovery.missing_reports()
    }

    /// Restores key states from the prior record.
    pub fn restore(&mut self, prior: &PriorRecord, now: Millis) {
        if let PriorRecord::Closed(states) = prior {
            for (key, saved) in states {
                self.restore_key(*key, *saved, now);
            }
        }
        let indeterminate = self.recovery.load(prior);
        self.add_indeterminate(&indeterminate, now);
    }

    /// Takes a router's report of the keys it sent to earlier incarnations.
    pub fn add_sent_keys(
        &mut self,
        origin: Incarnation,
        complete: bool,
        keys: &[KeyId],
        now: Millis,
    ) {
        let room = MAX_KEYS.saturating_sub(self.entries.len());
        let complete = complete && keys.len() <= room;
        let indeterminate = self.recovery.add_sent_keys(origin, complete, keys);
        self.add_indeterminate(&indeterminate, now);
    }

    fn add_indeterminate(&mut self, keys: &[KeyId], now: Millis) {
        for key in keys {
            self.restore_key(*key, SavedState::Indeterminate, now);
        }
    }

    fn restore_key(&mut self, key: KeyId, saved: SavedState, now: Millis) {
        let state = match saved {
            SavedState::Completed => KeyState::Completed(None),
            SavedState::Interrupted => KeyState::Interrupted,
            SavedState::Withdrawn => KeyState::Withdrawn,
            SavedState::Indeterminate => KeyState::Indeterminate,
        };
        if !self.entries.contains_key(&key) {
            self.record(key, state, now);
        }
    }

    /// Key states for the next incarnation; `None` during recovery, while they are
    /// incomplete.
    #[must_use]
    pub fn saved_states(&self, now: Millis) -> Option<Vec<(KeyId, SavedState)>> {
        if self.is_recovering(now) {
            return None;
        }
        let live = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.expires_at > now);
        let states = live.map(|(key, entry)| (*key, entry.state.to_saved()));
        Some(states.collect())
    }

    /// When there may be room for another key; `None` if there is room now.
    pub fn full_until(&mut self, now: Millis) -> Option<Millis> {
        self.expire(now);
        if self.entries.len() < MAX_KEYS {
            return None;
        }
        let next = self.expiry.front().map(|(expires_at, _)| *expires_at);
        Some(next.unwrap_or(now + self.retention_ms))
    }

    /// Records the state of a key.
    pub fn record(&mut self, key: KeyId, state: KeyState, now: Millis) {
        let state = self.limit_response(state);
        let expires_at = match state {
            KeyState::Running => Millis::MAX,
            _ => now + self.retention_ms,
        };
        if expires_at < Millis::MAX {
            self.expiry.push_back((expires_at, key));
        }
        let entry = Entry { state, expires_at };
        if let Some(old) = self.entries.insert(key, entry) {
            self.response_bytes -= response_size(&old.state);
        }
    }

    /// Removes a key whose request never reached the backend.
    pub fn remove(&mut self, key: KeyId) {
        if let Some(old) = self.entries.remove(&key) {
            self.response_bytes -= response_size(&old.state);
        }
    }

    /// Drops the response if the memory limit is reached.
    fn limit_response(&mut self, state: KeyState) -> KeyState {
        let size = response_size(&state);
        if self.response_bytes + size > MAX_RESPONSE_BYTES {
            return KeyState::Completed(None);
        }
        self.response_bytes += size;
        state
    }

    fn expire(&mut self, now: Millis) {
        while let Some((expires_at, key)) = self.expiry.front().copied() {
            if expires_at > now {
                return;
            }
            self.expiry.pop_front();
            let entry = self.entries.get(&key);
            let is_expired = entry.is_some_and(|entry| {
                entry.expires_at <= now && !matches!(entry.state, KeyState::Running)
            });
            if is_expired {
                self.remove(key);
            }
        }
    }

    /// Outcome of the request with a key.
    pub fn outcome(&mut self, key: KeyId, now: Millis) -> Outcome {
        match self.state(key, now) {
            KeyState::Unknown | KeyState::Indeterminate => Outcome::Unknown,
            KeyState::Withdrawn => Outcome::NotRun,
            KeyState::Running => Outcome::Running,
            KeyState::Completed(_) => Outcome::Ran,
            KeyState::Interrupted => Outcome::Cut,
        }
    }
}

fn response_size(state: &KeyState) -> usize {
    match state {
        KeyState::Completed(Some(response)) => response.size(),
        _ => 0,
    }
}
