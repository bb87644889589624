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
    Whole,
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

/// Runs in order of arrival.
#[derive(Debug, Default)]
pub struct Journal {
    runs: Mutex<Vec<Run>>,
}

impl Journal {
    /// Notes an arrival; returns the run's index.
    pub(crate) fn arrive(&self, op: &str) -> usize {
        let mut runs = self.runs.lock();
        runs.push(Run {
            op: op.to_owned(),
            arrived: now(),
            started: 0,
            ended: 0,
            tokens: 0,
            stage: Stage::Waiting,
        });
        runs.len() - 1
    }

    /// Notes a start.
    pub(crate) fn start(&self, index: usize) {
        let mut runs = self.runs.lock();
        runs[index].started = now();
        runs[index].stage = Stage::Running;
    }

    /// Notes one more token.
    pub(crate) fn token(&self, index: usize) {
        self.runs.lock()[index].tokens += 1;
    }

    /// Notes an end.
    pub(crate) fn end(&self, index: usize, stage: Stage) {
        let mut runs = self.runs.lock();
        runs[index].ended = now();
        runs[index].stage = stage;
    }

    /// Every run so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().clone()
    }

    /// Runs that are running now.
    pub fn running(&self) -> usize {
        let runs = self.runs.lock();
        runs.iter()
            .filter(|run| run.stage == Stage::Running)
            .count()
    }

    /// Tokens produced so far by customer, the part of an identity before `/`.
    pub fn tokens(&self) -> BTreeMap<String, u64> {
        let mut tokens = BTreeMap::new();
        for run in self.runs.lock().iter() {
            let customer = run.op.split('/').next().unwrap_or_default();
            *tokens.entry(customer.to_owned()).or_default() += u64::from(run.tokens);
        }
        tokens
    }
}

/// The time of day.
pub(crate) fn now() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0))
}
