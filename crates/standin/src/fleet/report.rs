//! The last line of a run.

use std::collections::BTreeMap;

use mulberryyoke_model::Class;
use serde::Serialize;

use super::audit::Audit;
use super::call::CallOutcome;
use super::load::Record;
use super::op::OperationKind;
use super::stats::quantile;

/// What a run showed.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    #[serde(flatten)]
    pub(crate) audit: Audit,
    /// Answers cut off although no fault of the run may do so.
    pub(crate) cut_off: usize,
    /// Promises of faults that were not kept.
    pub(crate) broken_promises: usize,
    /// Largest gap over the service by share in the same window.
    pub(crate) fairness_gap: f64,
    /// Largest gap, in tokens per share.
    pub(crate) fairness_gap_tokens: f64,
    /// Largest such fraction over windows of at least five seconds.
    pub(crate) fairness_gap_5s: f64,
    /// Length of the window of the largest gap, in seconds.
    pub(crate) fairness_gap_window_s: usize,
    /// Customers backlogged in nearly every sample.
    pub(crate) backlogged: usize,
    /// Seconds after the faults until the gap is again as before them; absent
    /// when it is not by the end.
    pub(crate) recovery_s: Option<usize>,
    /// Busy slots over slots while work waits.
    pub(crate) utilisation: f64,
    /// Bytes between the system's processes, bodies and answers excepted.
    pub(crate) control_bytes_per_node_s: f64,
    /// The same by request.
    pub(crate) control_bytes_per_request: f64,
    pub(crate) kv_calls_per_s: f64,
    /// By class.
    pub(crate) first_token_ms_p50: BTreeMap<&'static str, f64>,
    /// By class.
    pub(crate) first_token_ms_p95: BTreeMap<&'static str, f64>,
    /// Time from the end of the load until the last call ended.
    pub(crate) drain_s: f64,
    /// Longest time of a call.
    pub(crate) longest_ms: f64,
    /// Time that the fleet adds to a call at low load.
    pub(crate) added_ms_p50: f64,
    pub(crate) added_ms_p95: f64,
    pub(crate) policy: &'static str,
    pub(crate) faults: Vec<&'static str>,
    pub(crate) seed: u64,
}

impl Report {
    /// Whether nothing was lost, doubled, crossed or truncated and every
    /// promise was kept.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let audit = &self.audit;
        let bad = [
            audit.lost,
            audit.doubled,
            audit.crossed,
            audit.truncated,
            audit.false_not_run,
            self.cut_off,
            self.broken_promises,
        ];
        bad.iter().all(|count| *count == 0)
    }
}

/// Time to the first token of whole streamed answers, by class; those of a flood
/// do not count.
pub(crate) fn first_token(records: &[Record], part: f64) -> BTreeMap<&'static str, f64> {
    let mut times: BTreeMap<&'static str, Vec<f64>> = BTreeMap::new();
    for class in Class::ALL {
        times.insert(class.as_str(), Vec::new());
    }
    for record in records.iter().filter(|record| !record.op.flood) {
        let streamed = matches!(record.op.work, OperationKind::Chat { streamed: true, .. });
        let first = record.calls.last().and_then(|call| call.first);
        if let (true, CallOutcome::Complete, Some(first)) = (streamed, record.end(), first) {
            let times = times.entry(record.op.class.as_str()).or_default();
            times.push(first.as_secs_f64() * 1000.0);
        }
    }
    let quantiles = times.into_iter();
    quantiles
        .map(|(class, mut times)| (class, quantile(&mut times, part)))
        .collect()
}

/// Longest time of a call, in milliseconds.
pub(crate) fn longest(records: &[Record]) -> f64 {
    let calls = records.iter().flat_map(|record| &record.calls);
    let longest = calls.map(|call| call.took).max().unwrap_or_default();
    longest.as_secs_f64() * 1000.0
}
