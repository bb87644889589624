//! Memory of attempts: which started, which never may.

use std::collections::{HashMap, VecDeque};

use mulberryyoke_model::{Attempt, Incarnation, Millis, Outcome};

/// Most attempts remembered after their end or withdrawal.
const MAX_ATTEMPTS: usize = 65_536;

/// Longest difference between the clocks of two nodes, in milliseconds.
const CLOCK_MARGIN: Millis = 60_000;

/// What became of each attempt of this life. A tombstone
/// ([`Outcome::NotRun`]) is kept until a late copy would be past its deadline;
/// with no room for another none is given and the outcome stays unknown.
#[derive(Clone, Debug)]
pub struct Attempts {
    records: HashMap<Attempt, Outcome>,
    ended: VecDeque<(Millis, Attempt)>,
    tombstones: VecDeque<(Millis, Attempt)>,
    running: usize,
    /// Highest request forgotten of each origin.
    forgotten: HashMap<Incarnation, u64>,
    retention_ms: Millis,
}

impl Attempts {
    /// An empty memory.
    #[must_use]
    pub fn new(retention_ms: Millis) -> Self {
        Self {
            records: HashMap::new(),
            ended: VecDeque::new(),
            tombstones: VecDeque::new(),
            running: 0,
            forgotten: HashMap::new(),
            retention_ms,
        }
    }

    /// What became of an attempt; `None` when it never arrived, as far as memory
    /// reaches.
    #[must_use]
    pub fn outcome(&self, attempt: Attempt) -> Option<Outcome> {
        if let Some(outcome) = self.record(attempt) {
            return Some(outcome);
        }
        let forgotten = self.forgotten.get(&attempt.origin);
        let is_forgotten = forgotten.is_some_and(|request| attempt.request <= *request);
        is_forgotten.then_some(Outcome::Unknown)
    }

    /// What is remembered of an attempt.
    pub(crate) fn record(&self, attempt: Attempt) -> Option<Outcome> {
        self.records.get(&attempt).copied()
    }

    /// Attempts that run now.
    pub(crate) fn running(&self) -> usize {
        self.running
    }

    /// Notes that an attempt has started.
    pub fn start(&mut self, attempt: Attempt) {
        self.running += 1;
        self.records.insert(attempt, Outcome::Running);
    }

    /// Notes how a started attempt ended.
    pub fn end(&mut self, attempt: Attempt, outcome: Outcome, now: Millis) {
        let until = now + self.retention_ms;
        self.running -= 1;
        self.records.insert(attempt, outcome);
        self.ended.push_back((until, attempt));
        while self.ended.len() > MAX_ATTEMPTS {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((_, attempt)) = self.ended.pop_front() else {
            return;
        };
        self.records.remove(&attempt);
        let highest = self.forgotten.entry(attempt.origin).or_default();
        *highest = attempt.request.max(*highest);
    }

    /// Makes sure that an attempt never starts unless it has. Returns what had
    /// become of it.
    pub fn withdraw(&mut self, attempt: Attempt, now: Millis) -> Outcome {
        if let Some(outcome) = self.outcome(attempt) {
            return outcome;
        }
        self.expire(now);
        if self.tombstones.len() >= MAX_ATTEMPTS {
            return Outcome::Unknown;
        }
        let until = now + self.retention_ms + CLOCK_MARGIN;
        let outcome = Outcome::NotRun;
        self.records.insert(attempt, outcome);
        self.tombstones.push_back((until, attempt));
        outcome
    }

    fn expire(&mut self, now: Millis) {
        while let Some((until, attempt)) = self.tombstones.front().copied() {
            if until > now {
                return;
            }
            self.tombstones.pop_front();
            self.records.remove(&attempt);
        }
    }
}
