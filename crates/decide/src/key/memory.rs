//! Keys that this life has seen.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use mulberryyoke_model::{KeyId, Millis, Outcome};

use super::Answer;

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
    doubtful_until: Millis,
}

impl Memory {
    /// An empty memory. Keys unknown to it are doubtful before `doubtful_until`.
    #[must_use]
    pub fn open(retention_ms: Millis, doubtful_until: Millis) -> Self {
        Self {
            entries: HashMap::new(),
            expiry: VecDeque::new(),
            answers: 0,
            retention_ms,
            doubtful_until,
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

    /// Whether keys that this life has not seen may have run in an earlier one.
    #[must_use]
    pub fn is_doubtful(&self, now: Millis) -> bool {
        now < self.doubtful_until
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
        let until = now + self.retention_ms;
        let seen = self.bounded(seen);
        if !matches!(seen, Seen::Running) {
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
