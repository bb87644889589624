//! Report of a run.

use std::collections::BTreeMap;

use mulberryyoke_model::Class;
use serde::Serialize;

use super::audit::Audit;
use super::call::CallOutcome;
use super::load::OperationRecord;
use super::operation::OperationKind;
use super::stats::quantile;

/// Results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    #[serde(flatten)]
    pub(crate) audit: Audit,
    /// Unknown outcomes in a run without a fault that may interrupt responses.
    pub(crate) cut_off: usize,
    /// Violations of the guarantees that hold during the faults.
    pub(crate) broken_promises: usize,
    /// Largest fairness gap relative to the mean service per share in the same window.
    pub(crate) fairness_gap: f64,
    /// Largest fairness gap, in tokens per share.
    pub(crate) fairness_gap_tokens: f64,
    /// Largest relative fairness gap over windows of at least five seconds.
    pub(crate) fairness_gap_5s: f64,
    /// Length of the window with the largest fairness gap, in seconds.
    pub(crate) fairness_gap_window_s: usize,
    /// Number of customers backlogged in more than 90 % of the samples.
    pub(crate) backlogged: usize,
    /// Seconds from the end of the faults until the fairness gap is no larger than before them;
    /// `None` if that does not happen by the end of the load.
    pub(crate) recovery_s: Option<usize>,
    /// Fraction of slots that are busy while requests are waiting.
    pub(crate) utilisation: f64,
    /// Control traffic between processes, without request and response bodies.
    pub(crate) control_bytes_per_node_s: f64,
    /// Control traffic per operation.
    pub(crate) control_bytes_per_request: f64,
    pub(crate) kv_calls_per_s: f64,
    /// Median time to the first token, by class.
    pub(crate) first_token_ms_p50: BTreeMap<&'static str, f64>,
    /// 95th percentile of the time to the first token, by class.
    pub(crate) first_token_ms_p95: BTreeMap<&'static str, f64>,
    /// Time from the end of the load to the end of the last call.
    pub(crate) drain_s: f64,
    /// Maximum duration of a call.
    pub(crate) longest_ms: f64,
    /// Median latency that the fleet adds at low load.
    pub(crate) added_ms_p50: f64,
    /// 95th percentile of that latency.
    pub(crate) added_ms_p95: f64,
    pub(crate) policy: &'static str,
    pub(crate) faults: Vec<&'static str>,
    pub(crate) seed: u64,
}

impl Report {
    /// Whether there are no violations.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let audit = &self.audit;
        let violations = [
            audit.lost,
            audit.doubled,
            audit.crossed,
            audit.truncated,
            audit.false_not_run,
            self.cut_off,
            self.broken_promises,
        ];
        violations.iter().all(|count| *count == 0)
    }
}

/// Computes a quantile of the time to the first token, by class, over complete streamed responses
/// without those of a flood.
pub(crate) fn first_token_ms(records: &[OperationRecord], q: f64) -> BTreeMap<&'static str, f64> {
    let mut times: BTreeMap<&'static str, Vec<f64>> = BTreeMap::new();
    for class in Class::ALL {
        times.insert(class.as_str(), Vec::new());
    }
    for record in records.iter().filter(|record| !record.operation.is_flood) {
        let is_streamed = matches!(
            record.operation.kind,
            OperationKind::Chat { streamed: true, .. }
        );
        let time = record.calls.last().and_then(|call| call.time_to_first_byte);
        if let (true, CallOutcome::Complete, Some(time)) = (is_streamed, record.outcome(), time) {
            let times = times.entry(record.operation.class.as_str()).or_default();
            times.push(time.as_secs_f64() * 1000.0);
        }
    }
    let times = times.into_iter();
    times
        .map(|(class, mut times)| (class, quantile(&mut times, q)))
        .collect()
}

/// Computes the maximum duration of a call.
pub(crate) fn max_duration_ms(records: &[OperationRecord]) -> f64 {
    let calls = records.iter().flat_map(|record| &record.calls);
    let max = calls.map(|call| call.duration).max().unwrap_or_default();
    max.as_secs_f64() * 1000.0
}
