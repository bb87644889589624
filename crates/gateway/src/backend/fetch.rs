//! Transfer of cached prompt parts to the server of a request.

use std::sync::Arc;

use mulberryyoke_decide::engine::Choice;
use mulberryyoke_model::saturating_u64;
use tokio::time::Instant;

use super::Backend;
use crate::clock;

/// Shortest delay of the first token that counts as late, in milliseconds.
const MIN_LATE_MS: f64 = 20.0;

/// Transfer of cached prompt parts to the server of a request.
#[derive(Debug)]
pub(crate) struct Fetch {
    pub(crate) source: Arc<Backend>,
    /// Number of prompt tokens.
    pub(crate) tokens: u32,
    /// When the first token is so late that the server seems to have prefilled the parts itself.
    late_at: Instant,
}

impl Fetch {
    /// The transfer from `source` that was chosen, directly before the request is sent.
    pub(crate) fn new(source: &Arc<Backend>, choice: &Choice, prefill_ms: f64) -> Self {
        // Half of the time that the prefill of the fetched tokens takes.
        let margin_ms = (prefill_ms / 2.0).max(MIN_LATE_MS);
        let late_ms = saturating_u64(choice.ttft_ms() + margin_ms);
        Self {
            source: Arc::clone(source),
            tokens: choice.fetched,
            late_at: clock::after(Instant::now(), late_ms),
        }
    }

    /// Records the first token of the request, which shows whether the transfer was in time.
    pub(super) fn record_first_token(&self, now: Instant) {
        let is_late = now >= self.late_at;
        if is_late {
            metrics::counter!("fetches_late_total").increment(1);
        }
        let mut engine = self.source.engine.lock();
        engine.source.record_fetch(is_late, clock::now_ms());
    }
}
