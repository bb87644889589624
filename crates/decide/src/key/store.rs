//! Keys that this life has seen.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use mulberryyoke_model::{Incarnation, KeyId, Millis, Outcome};

use super::{PriorRecord, Recovery, Response, SavedState};

/// Most keys remembered.
const MAX_KEYS: usize = 65_536;

/// Most memory for kept answers, in bytes.
const MAX_ANSWERS: usize = 16 << 20;

/// What is known of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// Nothing: it may run.
    Unknown,
    /// It may have run in an earlier life.
    Indeterminate,
    /// Withdrawn: it never runs here.
    Withdrawn,
    /// Runs now.
    Running,
    /// Ran; with the answer if kept.
    Completed(Option<Arc<Response>>),
    /// Started and cut off.
    Interrupted,
}

impl KeyState {
    fn mark(&self) -> SavedState {
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
    seen: KeyState,
    until: Millis,
}

/// Keys that this life has seen, each for the retention time after its last
/// change; a running one for as long as it runs.
#[derive(Clone, Debug)]
pub struct Store {
    entries: HashMap<KeyId, Entry>,
    /// Keys by when they may be forgotten; stale pairs are skipped.
    expiry: VecDeque<(Millis, KeyId)>,
    answers: usize,
    retention_ms: Millis,
    doubt: Recovery,
}

impl Store {
    /// The empty memory of a life that began at an instant.
    #[must_use]
    pub fn new(retention_ms: Millis, started_at: Millis) -> Self {
        Self {
            entries: HashMap::new(),
            expiry: VecDeque::new(),
            answers: 0,
            retention_ms,
            doubt: Recovery::new(started_at + retention_ms),
        }
    }

    /// What is known of a key.
    pub fn state(&mut self, key: KeyId, now: Millis) -> KeyState {
        self.expire(now);
        match self.entries.get(&key) {
            Some(entry) => entry.seen.clone(),
            None if self.is_recovering(now) => KeyState::Indeterminate,
            None => KeyState::Unknown,
        }
    }

    /// Whether this life has seen a key or was told of it.
    #[must_use]
    pub fn contains(&self, key: KeyId) -> bool {
        self.entries.contains_key(&key)
    }

    /// Whether keys that this life has not seen may have run in an earlier one.
    #[must_use]
    pub fn is_recovering(&self, now: Millis) -> bool {
        self.doubt.is_pending(now)
    }

    /// Whether a router's own key, which no other router can have sent, may have
    /// been started in an earlier life.
    #[must_use]
    pub fn is_recovering_for(&self, origin: Incarnation, now: Millis) -> bool {
        self.doubt.is_pending_for(origin, now)
    }

    /// Routers that have not told yet which keys they sent to earlier lives.
    #[must_use]
    pub fn missing_reports(&self) -> usize {
        self.doubt.missing_reports()
    }

    /// The earlier life's record was read.
    pub fn restore(&mut self, past: &PriorRecord, now: Millis) {
        if let PriorRecord::Closed(marks) = past {
            for (key, mark) in marks {
                self.take_over(*key, *mark, now);
            }
        }
        let doubtful = self.doubt.load(past);
        self.suspect(&doubtful, now);
    }

    /// A router told the keys that it sent to earlier lives.
    pub fn add_sent_keys(
        &mut self,
        origin: Incarnation,
        complete: bool,
        keys: &[KeyId],
        now: Millis,
    ) {
        let room = MAX_KEYS.saturating_sub(self.entries.len());
        let complete = complete && keys.len() <= room;
        let doubtful = self.doubt.add_sent_keys(origin, complete, keys);
        self.suspect(&doubtful, now);
    }

    fn suspect(&mut self, keys: &[KeyId], now: Millis) {
        for key in keys {
            self.take_over(*key, SavedState::Indeterminate, now);
        }
    }

    fn take_over(&mut self, key: KeyId, mark: SavedState, now: Millis) {
        let seen = match mark {
            SavedState::Completed => KeyState::Completed(None),
            SavedState::Interrupted => KeyState::Interrupted,
            SavedState::Withdrawn => KeyState::Withdrawn,
            SavedState::Indeterminate => KeyState::Indeterminate,
        };
        if !self.entries.contains_key(&key) {
            self.record(key, seen, now);
        }
    }

    /// What the next life has to know; `None` while it is not all known here.
    #[must_use]
    pub fn saved_states(&self, now: Millis) -> Option<Vec<(KeyId, SavedState)>> {
        if self.is_recovering(now) {
            return None;
        }
        let live = self.entries.iter().filter(|(_, entry)| entry.until > now);
        let marks = live.map(|(key, entry)| (*key, entry.seen.mark()));
        Some(marks.collect())
    }

    /// When there is room for another key: `None` for now.
    pub fn full_until(&mut self, now: Millis) -> Option<Millis> {
        self.expire(now);
        if self.entries.len() < MAX_KEYS {
            return None;
        }
        let next = self.expiry.front().map(|(until, _)| *until);
        Some(next.unwrap_or(now + self.retention_ms))
    }

    /// Notes what became of a key.
    pub fn record(&mut self, key: KeyId, seen: KeyState, now: Millis) {
        let seen = self.bounded(seen);
        let until = match seen {
            KeyState::Running => Millis::MAX,
            _ => now + self.retention_ms,
        };
        if until < Millis::MAX {
            self.expiry.push_back((until, key));
        }
        let entry = Entry { seen, until };
        if let Some(old) = self.entries.insert(key, entry) {
            self.answers -= size(&old.seen);
        }
    }

    /// Forgets a key whose request never reached the backend.
    pub fn remove(&mut self, key: KeyId) {
        if let Some(old) = self.entries.remove(&key) {
            self.answers -= size(&old.seen);
        }
    }

    fn bounded(&mut self, seen: KeyState) -> KeyState {
        let size = size(&seen);
        if self.answers + size > MAX_ANSWERS {
            return KeyState::Completed(None);
        }
        self.answers += size;
        seen
    }

    fn expire(&mut self, now: Millis) {
        while let Some((until, key)) = self.expiry.front().copied() {
            if until > now {
                return;
            }
            self.expiry.pop_front();
            let entry = self.entries.get(&key);
            let is_due = entry.is_some_and(|entry| {
                entry.until <= now && !matches!(entry.seen, KeyState::Running)
            });
            if is_due {
                self.remove(key);
            }
        }
    }

    /// What became of a key.
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

fn size(seen: &KeyState) -> usize {
    match seen {
        KeyState::Completed(Some(answer)) => answer.size(),
        _ => 0,
    }
}
