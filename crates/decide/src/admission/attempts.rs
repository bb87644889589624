//! Outcomes of attempts, and tombstones of those that must not start.

use std::collections::{HashMap, VecDeque};

use mulberryyoke_model::{Attempt, Incarnation, Millis, Outcome};

/// Maximum number of ended attempts, and of tombstones, kept.
const MAX_ATTEMPTS: usize = 65_536;

/// Maximum clock skew between two nodes, in milliseconds.
const MAX_CLOCK_SKEW: Millis = 60_000;

/// Outcomes of the attempts of this incarnation. A tombstone
/// ([`Outcome::NotRun`]) is kept until a delayed copy would be past its deadline.
/// At the limit no tombstone is added and the outcome stays unknown.
#[derive(Clone, Debug)]
pub struct Attempts {
    records: HashMap<Attempt, Outcome>,
    ended: VecDeque<(Millis, Attempt)>,
    tombstones: VecDeque<(Millis, Attempt)>,
    running: usize,
    /// Highest evicted request number by origin.
    evicted: HashMap<Incarnation, u64>,
    retention_ms: Millis,
}

impl Attempts {
    /// Creates an empty set.
    #[must_use]
    pub fn new(retention_ms: Millis) -> Self {
        Self {
            records: HashMap::new(),
            ended: VecDeque::new(),
            tombstones: VecDeque::new(),
            running: 0,
            evicted: HashMap::new(),
            retention_ms,
        }
    }

    /// Outcome of an attempt; `None` if it never arrived. An attempt whose record may
    /// have been evicted has the outcome [`Outcome::Unknown`].
    #[must_use]
    pub fn outcome(&self, attempt: Attempt) -> Option<Outcome> {
        if let Some(outcome) = self.record(attempt) {
            return Some(outcome);
        }
        let evicted = self.evicted.get(&attempt.origin);
        let is_evicted = evicted.is_some_and(|request| attempt.request <= *request);
        is_evicted.then_some(Outcome::Unknown)
    }

    /// Recorded outcome of an attempt.
    pub(crate) fn record(&self, attempt: Attempt) -> Option<Outcome> {
        self.records.get(&attempt).copied()
    }

    /// Number of running attempts.
    pub(crate) fn running(&self) -> usize {
        self.running
    }

    /// Records the start of an attempt.
    pub fn start(&mut self, attempt: Attempt) {
        self.running += 1;
        self.records.insert(attempt, Outcome::Running);
    }

    /// Records the outcome of a started attempt.
    pub fn end(&mut self, attempt: Attempt, outcome: Outcome, now: Millis) {
        let expires_at = now + self.retention_ms;
        self.running -= 1;
        self.records.insert(attempt, outcome);
        self.ended.push_back((expires_at, attempt));
        while self.ended.len() > MAX_ATTEMPTS {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some((_, attempt)) = self.ended.pop_front() else {
            return;
        };
        self.records.remove(&attempt);
        let highest = self.evicted.entry(attempt.origin).or_default();
        *highest = attempt.request.max(*highest);
    }

    /// Adds a tombstone for an attempt that has not started. Returns its outcome.
    pub fn withdraw(&mut self, attempt: Attempt, now: Millis) -> Outcome {
        if let Some(outcome) = self.outcome(attempt) {
            return outcome;
        }
        self.expire_tombstones(now);
        if self.tombstones.len() >= MAX_ATTEMPTS {
            return Outcome::Unknown;
        }
        let expires_at = now + self.retention_ms + MAX_CLOCK_SKEW;
        let outcome = Outcome::NotRun;
        self.records.insert(attempt, outcome);
        self.tombstones.push_back((expires_at, attempt));
        outcome
    }

    fn expire_tombstones(&mut self, now: Millis) {
        while let Some((expires_at, attempt)) = self.tombstones.front().copied() {
            if expires_at > now {
                return;
            }
            self.tombstones.pop_front();
            self.records.remove(&attempt);
        }
    }
}
