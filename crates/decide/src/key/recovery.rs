//! Whether an earlier life may have started keys that this one has not seen.

use std::collections::BTreeSet;

use mulberryyoke_model::{Incarnation, KeyId, Millis};

use super::SavedState;

/// Keys told by routers that are kept until the earlier life's record is read.
const MAX_TOLD: usize = 65_536;

/// What the record of an earlier life tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PriorRecord {
    /// There was no earlier life.
    Absent,
    /// It stopped as planned and left its keys.
    Closed(Vec<(KeyId, SavedState)>),
    /// It ended without a word; these routers may have sent it keys.
    Open(Vec<Incarnation>),
    /// The record cannot be read.
    Unreadable,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// The earlier life's record is not read yet.
    Unread,
    /// These routers have not told yet which keys they sent.
    Missing(BTreeSet<Incarnation>),
    /// Nobody can tell.
    Lasting,
    /// Every key that an earlier life may have started is known.
    Clear,
}

/// Whether an earlier life may have started keys that this one has not seen.
/// After the retention time it no longer matters.
#[derive(Clone, Debug)]
pub struct Recovery {
    state: State,
    until: Millis,
    /// Routers that told all keys they sent to earlier lives.
    told: BTreeSet<Incarnation>,
    /// Routers that told only a part.
    partly: BTreeSet<Incarnation>,
    keys: Vec<KeyId>,
}

impl Recovery {
    /// Recovery that lasts at most until `until`.
    #[must_use]
    pub fn new(until: Millis) -> Self {
        Self {
            state: State::Unread,
            until,
            told: BTreeSet::new(),
            partly: BTreeSet::new(),
            keys: Vec::new(),
        }
    }

    /// Whether a key that this life has not seen may have been started before.
    #[must_use]
    pub fn is_pending(&self, now: Millis) -> bool {
        self.state != State::Clear && now < self.until
    }

    /// Whether a router's own key, which no other router can have sent, may have
    /// been started before.
    #[must_use]
    pub fn is_pending_for(&self, origin: Incarnation, now: Millis) -> bool {
        self.is_pending(now) && !self.told.contains(&origin)
    }

    /// A router told the keys it sent to earlier lives; only its first word counts,
    /// later ones are about this life. Returns those now known as doubtful.
    pub fn add_sent_keys(
        &mut self,
        origin: Incarnation,
        complete: bool,
        keys: &[KeyId],
    ) -> Vec<KeyId> {
        let is_known = self.told.contains(&origin) || self.partly.contains(&origin);
        if is_known || self.state == State::Clear {
            return Vec::new();
        }
        let complete = complete && self.keys.len() + keys.len() <= MAX_TOLD;
        if complete {
            self.told.insert(origin);
            self.keys.extend_from_slice(keys);
        } else {
            self.partly.insert(origin);
        }
        self.settle()
    }

    /// The earlier life's record was read. Returns keys now known as doubtful.
    pub fn load(&mut self, past: &PriorRecord) -> Vec<KeyId> {
        self.state = match past {
            PriorRecord::Absent | PriorRecord::Closed(_) => State::Clear,
            PriorRecord::Open(routers) => State::Missing(routers.iter().copied().collect()),
            PriorRecord::Unreadable => State::Lasting,
        };
        if self.state == State::Clear {
            self.keys.clear();
        }
        self.settle()
    }

    fn settle(&mut self) -> Vec<KeyId> {
        let State::Missing(missing) = &mut self.state else {
            return Vec::new();
        };
        missing.retain(|origin| !self.told.contains(origin));
        if missing.is_empty() {
            self.state = State::Clear;
        }
        std::mem::take(&mut self.keys)
    }

    /// Routers that have not told yet.
    #[must_use]
    pub fn missing_reports(&self) -> usize {
        match &self.state {
            State::Missing(missing) => missing.len(),
            State::Unread | State::Lasting | State::Clear => 0,
        }
    }
}
