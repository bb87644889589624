//! Compares the outcomes that callers saw with the runs that engines and services recorded.

use std::collections::HashMap;

use serde::Serialize;

use crate::journal::{Run, Stage};

use super::call::{Call, CallOutcome};
use super::load::OperationRecord;

/// Maximum number of findings that are kept.
const MAX_FINDINGS: usize = 200;

/// Counts of operations by outcome and of violations. All fields after `unknown` except `reruns`
/// should be 0.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Audit {
    /// Operations with a complete response.
    pub(crate) answered: usize,
    /// Operations abandoned after the last attempt did not run.
    pub(crate) refused: usize,
    /// Attempts reported as not run.
    pub(crate) refusals: usize,
    /// Operations reported as run, without the result.
    pub(crate) told_ran: usize,
    /// Operations with an unknown outcome.
    pub(crate) unknown: usize,
    /// Operations that timed out, or were reported as complete or run without a run.
    pub(crate) lost: usize,
    /// At-most-once operations that ran more than once.
    pub(crate) doubled: usize,
    /// Responses with data of another request.
    pub(crate) crossed: usize,
    /// Incomplete responses that ended without an error.
    pub(crate) truncated: usize,
    /// Operations reported as not run that had run.
    pub(crate) false_not_run: usize,
    /// Repeatable operations of which one attempt ran more than once.
    pub(crate) reruns: usize,
    /// Descriptions of the violations and of unknown outcomes.
    #[serde(skip)]
    pub(crate) findings: Vec<String>,
}

/// Compares all operations with the runs.
pub(crate) fn audit(records: &[OperationRecord], runs: &[Run]) -> Audit {
    let mut runs_by_id: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in runs {
        runs_by_id.entry(&run.op).or_default().push(run);
    }
    let mut audit = Audit::default();
    for record in records {
        audit.add(record, &runs_by_id);
    }
    audit
}

impl Audit {
    fn add(&mut self, record: &OperationRecord, runs_by_id: &HashMap<&str, Vec<&Run>>) {
        let runs = |call: &Call| {
            runs_by_id
                .get(call.attempt_id.as_str())
                .cloned()
                .unwrap_or_default()
        };
        let started = |call: &Call| runs(call).iter().filter(|run| run.started > 0).count();
        let Some(last) = record.calls.last() else {
            return;
        };
        let is_complete = runs(last).iter().any(|run| run.stage == Stage::Complete);
        match record.outcome() {
            CallOutcome::Complete if is_complete => self.answered += 1,
            CallOutcome::Complete => {
                self.add_finding(|audit| &mut audit.lost, "complete without a run", record);
            }
            CallOutcome::NotRun => self.refused += 1,
            CallOutcome::Ran if started(last) > 0 => self.told_ran += 1,
            CallOutcome::Ran => {
                self.add_finding(
                    |audit| &mut audit.lost,
                    "reported as run, did not run",
                    record,
                );
            }
            CallOutcome::Unknown => {
                let description = if started(last) > 0 {
                    "unknown, ran"
                } else {
                    "unknown, did not run"
                };
                self.add_finding(|audit| &mut audit.unknown, description, record);
            }
            CallOutcome::TimedOut => {
                self.add_finding(|audit| &mut audit.lost, "timed out", record);
            }
            CallOutcome::Truncated => {
                self.add_finding(|audit| &mut audit.truncated, "truncated", record);
            }
            CallOutcome::Mismatched => {
                self.add_finding(|audit| &mut audit.crossed, "mismatched", record);
            }
        }
        let refusals = record
            .calls
            .iter()
            .filter(|call| call.outcome == CallOutcome::NotRun);
        self.refusals += refusals.count();
        self.check_runs(record, started);
    }

    /// Checks the number of runs, and that attempts reported as not run did not run.
    fn check_runs(&mut self, record: &OperationRecord, started: impl Fn(&Call) -> usize) {
        let has_idempotency_key = record.operation.has_idempotency_key;
        // Attempts with an idempotency key share one ID.
        let attempts = if has_idempotency_key {
            &record.calls[..1]
        } else {
            &record.calls
        };
        let max = attempts.iter().map(&started).max().unwrap_or(0);
        let sum: usize = attempts.iter().map(&started).sum();
        if record.operation.runs_at_most_once() && sum > 1 {
            self.add_finding(|audit| &mut audit.doubled, "ran more than once", record);
        } else if max > 1 {
            self.reruns += 1;
        }
        let is_not_run = |call: &&Call| call.outcome == CallOutcome::NotRun;
        let is_false = if has_idempotency_key {
            record.calls.iter().all(|call| is_not_run(&call)) && sum > 0
        } else {
            record
                .calls
                .iter()
                .filter(is_not_run)
                .any(|call| started(call) > 0)
        };
        if is_false {
            self.add_finding(
                |audit| &mut audit.false_not_run,
                "reported as not run, ran",
                record,
            );
        }
    }

    fn add_finding(
        &mut self,
        count: fn(&mut Self) -> &mut usize,
        description: &str,
        record: &OperationRecord,
    ) {
        *count(self) += 1;
        if self.findings.len() >= MAX_FINDINGS {
            return;
        }
        let calls = record.calls.iter();
        let calls: Vec<String> = calls
            .map(|call| format!("{} {:?} {}", call.attempt_id, call.outcome, call.detail))
            .collect();
        let operation = &record.operation;
        let calls = calls.join("; ");
        self.findings.push(format!(
            "{description}: {} {:?}: {calls}",
            operation.id, operation.kind
        ));
    }
}
