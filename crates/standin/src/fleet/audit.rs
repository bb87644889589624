//! Comparison of what callers hold with what engines and services ran.

use std::collections::HashMap;

use serde::Serialize;

use crate::journal::{Run, Stage};

use super::call::{Call, CallOutcome};
use super::load::Record;

/// Findings kept one by one, at most.
const MOST_KEPT: usize = 200;

/// Counts of a run; all after `unknown` should be 0 but `reruns`.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Audit {
    /// Whole answers held by callers.
    pub(crate) answered: usize,
    /// Given up after every attempt was told not to have run.
    pub(crate) refused: usize,
    /// Attempts that were told not to have run.
    pub(crate) refusals: usize,
    /// Told to have run, without the answer.
    pub(crate) told_ran: usize,
    /// Ended without knowledge.
    pub(crate) unknown: usize,
    /// No end at all, or an end whose run nobody made.
    pub(crate) lost: usize,
    /// Work that must run once and ran more often.
    pub(crate) doubled: usize,
    /// Answers with something of another's.
    pub(crate) crossed: usize,
    /// Answers that pass for whole and are not.
    pub(crate) truncated: usize,
    /// Told not to have run, and had run.
    pub(crate) false_not_run: usize,
    /// Repeatable work that ran more than once under one attempt.
    pub(crate) reruns: usize,
    /// What was found, for people.
    #[serde(skip)]
    pub(crate) findings: Vec<String>,
}

/// Compares.
pub(crate) fn audit(records: &[Record], runs: &[Run]) -> Audit {
    let mut by_op: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in runs {
        by_op.entry(&run.op).or_default().push(run);
    }
    let mut audit = Audit::default();
    for record in records {
        audit.take(record, &by_op);
    }
    audit
}

impl Audit {
    fn take(&mut self, record: &Record, by_op: &HashMap<&str, Vec<&Run>>) {
        let runs = |call: &Call| {
            by_op
                .get(call.attempt.as_str())
                .cloned()
                .unwrap_or_default()
        };
        let started = |call: &Call| runs(call).iter().filter(|run| run.started > 0).count();
        let Some(last) = record.calls.last() else {
            return;
        };
        let whole = runs(last).iter().any(|run| run.stage == Stage::Complete);
        match record.end() {
            CallOutcome::Complete if whole => self.answered += 1,
            CallOutcome::Complete => {
                self.find(|audit| &mut audit.lost, "answered without a run", record);
            }
            CallOutcome::NotRun => self.refused += 1,
            CallOutcome::Ran if started(last) > 0 => self.told_ran += 1,
            CallOutcome::Ran => {
                self.find(|audit| &mut audit.lost, "told ran without a run", record);
            }
            CallOutcome::Unknown => {
                self.find(|audit| &mut audit.unknown, ran(started(last)), record);
            }
            CallOutcome::TimedOut => self.find(|audit| &mut audit.lost, "never ended", record),
            CallOutcome::Truncated => self.find(|audit| &mut audit.truncated, "truncated", record),
            CallOutcome::Mismatched => self.find(|audit| &mut audit.crossed, "crossed", record),
        }
        let refusals = record
            .calls
            .iter()
            .filter(|call| call.end == CallOutcome::NotRun);
        self.refusals += refusals.count();
        self.count_runs(record, started);
    }

    fn count_runs(&mut self, record: &Record, started: impl Fn(&Call) -> usize) {
        let keyed = record.op.keyed;
        // Attempts with one key are one identity.
        let identities = if keyed {
            &record.calls[..1]
        } else {
            &record.calls
        };
        let most = identities.iter().map(&started).max().unwrap_or(0);
        let sum: usize = identities.iter().map(&started).sum();
        if record.op.is_once() && sum > 1 {
            self.find(|audit| &mut audit.doubled, "ran more than once", record);
        } else if most > 1 {
            self.reruns += 1;
        }
        let denied = |call: &&Call| call.end == CallOutcome::NotRun;
        let is_false = if keyed {
            record.calls.iter().all(|call| denied(&call)) && sum > 0
        } else {
            record
                .calls
                .iter()
                .filter(denied)
                .any(|call| started(call) > 0)
        };
        if is_false {
            self.find(
                |audit| &mut audit.false_not_run,
                "told not run, ran",
                record,
            );
        }
    }

    fn find(&mut self, count: fn(&mut Self) -> &mut usize, what: &str, record: &Record) {
        *count(self) += 1;
        if self.findings.len() >= MOST_KEPT {
            return;
        }
        let calls = record.calls.iter();
        let calls: Vec<String> = calls
            .map(|call| format!("{} {:?} {}", call.attempt, call.end, call.note))
            .collect();
        let op = &record.op;
        let calls = calls.join("; ");
        self.findings
            .push(format!("{what}: {} {:?}: {calls}", op.id, op.work));
    }
}

/// What an unknown end turned out to be.
fn ran(started: usize) -> &'static str {
    if started > 0 {
        "unknown, ran"
    } else {
        "unknown, had not run"
    }
}
