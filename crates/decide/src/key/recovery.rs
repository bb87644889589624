//! Recovery of the keys that an earlier incarnation may have started.

use std::collections::BTreeSet;

use mulberryyoke_model::{Incarnation, KeyId, Millis};

use super::SavedState;

/// Maximum number of reported keys held until the prior record is loaded.
const MAX_REPORTED_KEYS: usize = 65_536;

/// Record left by an earlier incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PriorRecord {
    /// There is no record: this is the first incarnation.
    Absent,
    /// A planned stop left the state of every key.
    Closed(Vec<(KeyId, SavedState)>),
    /// The process ended without a planned stop; these routers may have sent it keys.
    Open(Vec<Incarnation>),
    /// The record cannot be parsed.
    Unreadable,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// The prior record is not loaded yet.
    AwaitingRecord,
    /// These routers have not reported yet which keys they sent.
    AwaitingReports(BTreeSet<Incarnation>),
    /// The routers to ask are unknown; only the retention time ends the recovery.
    Unrecoverable,
    /// Every key that an earlier incarnation may have started is known.
    Complete,
}

/// Collects the keys that earlier incarnations may have started. Pending until
/// all are known or the retention time has passed.
#[derive(Clone, Debug)]
pub struct Recovery {
    phase: Phase,
    until: Millis,
    /// Routers that reported all keys they had sent to earlier incarnations.
    reported: BTreeSet<Incarnation>,
    /// Routers whose report was incomplete.
    incomplete: BTreeSet<Incarnation>,
    /// Reported keys not yet returned as indeterminate.
    keys: Vec<KeyId>,
}

impl Recovery {
    /// Starts a recovery that ends at `until` at the latest.
    #[must_use]
    pub fn new(until: Millis) -> Self {
        Self {
            phase: Phase::AwaitingRecord,
            until,
            reported: BTreeSet::new(),
            incomplete: BTreeSet::new(),
            keys: Vec::new(),
        }
    }

    /// Whether a key unknown to this incarnation may have been started earlier.
    #[must_use]
    pub fn is_pending(&self, now: Millis) -> bool {
        self.phase != Phase::Complete && now < self.until
    }

    /// Whether a key that only the given router can have sent may have been started
    /// earlier.
    #[must_use]
    pub fn is_pending_for(&self, origin: Incarnation, now: Millis) -> bool {
        self.is_pending(now) && !self.reported.contains(&origin)
    }

    /// Takes a router's report of the keys it sent to earlier incarnations. Only the
    /// first report counts: later ones concern this incarnation. Returns the keys
    /// that are now indeterminate.
    pub fn add_sent_keys(
        &mut self,
        origin: Incarnation,
        complete: bool,
        keys: &[KeyId],
    ) -> Vec<KeyId> {
        let has_reported = self.reported.contains(&origin) || self.incomplete.contains(&origin);
        if has_reported || self.phase == Phase::Complete {
            return Vec::new();
        }
        let complete = complete && self.keys.len() + keys.len() <= MAX_REPORTED_KEYS;
        if complete {
            self.reported.insert(origin);
            self.keys.extend_from_slice(keys);
        } else {
            self.incomplete.insert(origin);
        }
        self.update_phase()
    }

    /// Loads the prior record. Returns the keys that are now indeterminate.
    pub fn load(&mut self, prior: &PriorRecord) -> Vec<KeyId> {
        self.phase = match prior {
            PriorRecord::Absent | PriorRecord::Closed(_) => Phase::Complete,
            PriorRecord::Open(routers) => Phase::AwaitingReports(routers.iter().copied().collect()),
            PriorRecord::Unreadable => Phase::Unrecoverable,
        };
        if self.phase == Phase::Complete {
            self.keys.clear();
        }
        self.update_phase()
    }

    fn update_phase(&mut self) -> Vec<KeyId> {
        let Phase::AwaitingReports(missing) = &mut self.phase else {
            return Vec::new();
        };
        missing.retain(|origin| !self.reported.contains(origin));
        if missing.is_empty() {
            self.phase = Phase::Complete;
        }
        std::mem::take(&mut self.keys)
    }

    /// Number of routers that have not reported yet.
    #[must_use]
    pub fn missing_reports(&self) -> usize {
        match &self.phase {
            Phase::AwaitingReports(missing) => missing.len(),
            Phase::AwaitingRecord | Phase::Unrecoverable | Phase::Complete => 0,
        }
    }
}
