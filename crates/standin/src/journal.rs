//! What a stand-in ran, the truth that tests compare with what callers hold.

use std::collections::BTreeMap;
use std::time::{SystemTime, UNIX_EPOCH};

use mulberryyoke_model::Millis;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// How far a run came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// Admitted, not started.
    Waiting,
    /// Started, not ended.
    Running,
    /// Ended whole.
    #[serde(rename = "whole")]
    Complete,
    /// Cancelled before its end.
    Cancelled,
}

/// One request that reached a stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    /// Identity that the caller gave, `CUSTOMER/NUMBER`.
    pub op: String,
    /// When it arrived.
    pub arrived: Millis,
    /// When it started; 0 before.
    pub started: Millis,
    /// When it ended; 0 before.
    pub ended: Millis,
    /// Tokens produced.
    pub tokens: u32,
    /// How far it came.
    pub stage: Stage,
}

/// Counts of one customer at one stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CustomerStats {
    /// Runs admitted and not started.
    pub waiting: u32,
    /// Runs started and not ended.
    pub running: u32,
    /// Tokens produced so far.
    pub tokens: u64,
}

/// Counts by customer, the part of an identity before `/`.
pub type StatsByCustomer = BTreeMap<String, CustomerStats>;

/// Runs in order of arrival.
#[derive(Debug, Default)]
pub struct Journal {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    runs: Vec<Run>,
    tallies: StatsByCustomer,
}

impl Inner {
    /// A run and its customer's tally.
    fn run(&mut self, index: usize) -> (&mut Run, &mut CustomerStats) {
        let run = &mut self.runs[index];
        let customer = run.op.split('/').next().unwrap_or_default();
        let tally = self.tallies.get_mut(customer);
        (run, tally.expect("every arrival has a tally"))
    }
}

impl Journal {
    /// Notes an arrival; returns the run's index.
    pub(crate) fn arrive(&self, op: &str) -> usize {
        let mut inner = self.inner.lock();
        let customer = op.split('/').next().unwrap_or_default();
        let tally = inner.tallies.entry(customer.to_owned()).or_default();
        tally.waiting += 1;
        inner.runs.push(Run {
            op: op.to_owned(),
            arrived: now(),
            started: 0,
            ended: 0,
            tokens: 0,
            stage: Stage::Waiting,
        });
        inner.runs.len() - 1
    }

    /// Notes a start.
    pub(crate) fn start(&self, index: usize) {
        let mut inner = self.inner.lock();
        let (run, tally) = inner.run(index);
        run.started = now();
        run.stage = Stage::Running;
        tally.waiting -= 1;
        tally.running += 1;
    }

    /// Notes more tokens.
    pub(crate) fn add(&self, index: usize, tokens: u32) {
        let mut inner = self.inner.lock();
        let (run, tally) = inner.run(index);
        run.tokens += tokens;
        tally.tokens += u64::from(tokens);
    }

    /// Notes an end.
    pub(crate) fn end(&self, index: usize, stage: Stage) {
        let mut inner = self.inner.lock();
        let (run, tally) = inner.run(index);
        match run.stage {
            Stage::Running => tally.running -= 1,
            _ => tally.waiting -= 1,
        }
        run.ended = now();
        run.stage = stage;
    }

    /// Every run so far.
    pub fn runs(&self) -> Vec<Run> {
        self.inner.lock().runs.clone()
    }

    /// Every customer's tally.
    pub fn customer_stats(&self) -> StatsByCustomer {
        self.inner.lock().tallies.clone()
    }
}

/// The time of day.
pub(crate) fn now() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0))
}
