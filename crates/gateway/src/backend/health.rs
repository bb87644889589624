//! What is held against a server for failures seen.

use tokio::time::Instant;

use crate::clock;

/// Penalty for a failure, in milliseconds of waiting.
const FAILURE_MS: f64 = 300.0;

/// Most penalty, in milliseconds: beyond it no queue is preferred to a server.
const MOST_MS: f64 = 3_000.0;

/// Time in which a penalty halves, in milliseconds: a restarted server is tried
/// again within seconds.
const HALF_MS: f64 = 700.0;

/// Part of the penalty that a success leaves.
const SUCCESS_LEAVES: f64 = 0.7;

/// What is held against a server for failures seen. It fades with time and success.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    penalty_ms: f64,
    updated_at: Option<Instant>,
}

impl Health {
    /// Time that is added to the cost of choosing the server, in milliseconds.
    pub(crate) fn penalty_ms(&self, now: Instant) -> f64 {
        let Some(at) = self.updated_at else {
            return 0.0;
        };
        #[expect(clippy::cast_precision_loss, reason = "some seconds in milliseconds")]
        let elapsed = clock::between_ms(at, now) as f64;
        self.penalty_ms * (-elapsed / HALF_MS).exp2()
    }

    /// Notes a failure.
    pub(crate) fn record_failure(&mut self, now: Instant) {
        self.penalty_ms = (self.penalty_ms(now) * 2.0 + FAILURE_MS).min(MOST_MS);
        self.updated_at = Some(now);
    }

    /// Notes a success.
    pub(crate) fn record_success(&mut self, now: Instant) {
        if self.updated_at.is_none() {
            return;
        }
        self.penalty_ms = self.penalty_ms(now) * SUCCESS_LEAVES;
        self.updated_at = Some(now);
    }
}
