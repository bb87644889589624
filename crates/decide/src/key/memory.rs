//! Keys that this life has seen.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use mulberryyoke_model::{Incarnation, KeyId, Millis, Outcome};

use super::{Answer, Doubt, Mark, Past};

/// Most keys remembered.
const MAX_KEYS: usize = 65_536;

/// Most memory for kept answers, in bytes.
const MAX_ANSWERS: usize = 16 << 20;

/// What is known of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// Nothing: it may run.
    Unknown,
    /// It may have run in an earlier life.
    Doubtful,
    /// Withdrawn: it never runs here.
    Barred,
    /// Runs now.
    Running,
    /// Ran; with the answer if kept.
    Ran(Option<Arc<Answer>>),
    /// Started and cut off.
    Cut,
}

impl Seen {
    fn mark(&self) -> Mark {
        match self {
            Self::Ran(_) => Mark::Ran,
            Self::Cut => Mark::Cut,
            Self::Barred => Mark::Barred,
            Self::Unknown | Self::Doubtful | Self::Running => Mark::Doubtful,
        }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    seen: Seen,
    until: Millis,
}

/// Keys that this life has seen, each for the retention time after its last
/// change; a running one for as long as it runs.
#[derive(Clone, Debug)]
pub struct Memory {
    entries: HashMap<KeyId, Entry>,
    /// Keys by when they may be forgotten; stale pairs are skipped.
    expiry: VecDeque<(Millis, KeyId)>,
    answers: usize,
    retention_ms: Millis,
    doubt: Doubt,
}

impl Memory {
    /// The empty memory of a life that began at an instant.
    #[must_use]
    pub fn open(retention_ms: Millis, started_at: Millis) -> Self {
        Self {
            entries: HashMap::new(),
            expiry: VecDeque::new(),
            answers: 0,
            retention_ms,
            doubt: Doubt::open(started_at + retention_ms),
        }
    }

    /// What is known of a key.
    pub fn seen(&mut self, key: KeyId, now: Millis) -> Seen {
        self.expire(now);
        match self.entries.get(&key) {
            Some(entry) => entry.seen.clone(),
            None if self.is_doubtful(now) => Seen::Doubtful,
            None => Seen::Unknown,
        }
    }

    /// Whether this life has seen a key or was told of it.
    #[must_use]
    pub fn is_known(&self, key: KeyId) -> bool {
        self.entries.contains_key(&key)
    }

    /// Whether keys that this life has not seen may have run in an earlier one.
    #[must_use]
    pub fn is_doubtful(&self, now: Millis) -> bool {
        self.doubt.is_open(now)
    }

    /// Whether a router's own key, which no other router can have sent, may have
    /// been started in an earlier life.
    #[must_use]
    pub fn is_doubtful_for(&self, origin: Incarnation, now: Millis) -> bool {
        self.doubt.is_open_for(origin, now)
    }

    /// Routers that have not told yet which keys they sent to earlier lives.
    #[must_use]
    pub fn missing(&self) -> usize {
        self.doubt.missing()
    }

    /// The earlier life's record was read.
    pub fn read(&mut self, past: &Past, now: Millis) {
        if let Past::Closed(marks) = past {
            for (key, mark) in marks {
                self.take_over(*key, *mark, now);
            }
        }
        let doubtful = self.doubt.read(past);
        self.suspect(&doubtful, now);
    }

    /// A router told the keys that it sent to earlier lives.
    pub fn recall(&mut self, origin: Incarnation, complete: bool, keys: &[KeyId], now: Millis) {
        let room = MAX_KEYS.saturating_sub(self.entries.len());
        let complete = complete && keys.len() <= room;
        let doubtful = self.doubt.recall(origin, complete, keys);
        self.suspect(&doubtful, now);
    }

    fn suspect(&mut self, keys: &[KeyId], now: Millis) {
        for key in keys {
            self.take_over(*key, Mark::Doubtful, now);
        }
    }

    fn take_over(&mut self, key: KeyId, mark: Mark, now: Millis) {
        let seen = match mark {
            Mark::Ran => Seen::Ran(None),
            Mark::Cut => Seen::Cut,
            Mark::Barred => Seen::Barred,
            Mark::Doubtful => Seen::Doubtful,
        };
        if !self.entries.contains_key(&key) {
            self.note(key, seen, now);
        }
    }

    /// What the next life has to know; `None` while it is not all known here.
    #[must_use]
    pub fn marks(&self, now: Millis) -> Option<Vec<(KeyId, Mark)>> {
        if self.is_doubtful(now) {
            return None;
        }
        let live = self.entries.iter().filter(|(_, entry)| entry.until > now);
        let marks = live.map(|(key, entry)| (*key, entry.seen.mark()));
        Some(marks.collect())
    }

    /// When there is room for another key: `None` for now.
    pub fn room_at(&mut self, now: Millis) -> Option<Millis> {
        self.expire(now);
        if self.entries.len() < MAX_KEYS {
            return None;
        }
        let next = self.expiry.front().map(|(until, _)| *until);
        Some(next.unwrap_or(now + self.retention_ms))
    }

    /// Notes what became of a key.
    pub fn note(&mut self, key: KeyId, seen: Seen, now: Millis) {
        let seen = self.bounded(seen);
        let until = match seen {
            Seen::Running => Millis::MAX,
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
    pub fn forget(&mut self, key: KeyId) {
        if let Some(old) = self.entries.remove(&key) {
            self.answers -= size(&old.seen);
        }
    }

    fn bounded(&mut self, seen: Seen) -> Seen {
        let size = size(&seen);
        if self.answers + size > MAX_ANSWERS {
            return Seen::Ran(None);
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
            let is_due = entry
                .is_some_and(|entry| entry.until <= now && !matches!(entry.seen, Seen::Running));
            if is_due {
                self.forget(key);
            }
        }
    }

    /// What became of a key.
    pub fn outcome(&mut self, key: KeyId, now: Millis) -> Outcome {
        match self.seen(key, now) {
            Seen::Unknown | Seen::Doubtful => Outcome::Unknown,
            Seen::Barred => Outcome::NotRun,
            Seen::Running => Outcome::Running,
            Seen::Ran(_) => Outcome::Ran,
            Seen::Cut => Outcome::Cut,
        }
    }
}

fn size(seen: &Seen) -> usize {
    match seen {
        Seen::Ran(Some(answer)) => answer.size(),
        _ => 0,
    }
}
