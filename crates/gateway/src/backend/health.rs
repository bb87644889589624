//! Penalty of a server for recent failures.

use tokio::time::Instant;

use crate::clock;

/// Penalty per failure, in milliseconds of queueing time.
const FAILURE_MS: f64 = 300.0;

/// Upper limit of the penalty, in milliseconds. Longer than any queue, so that a larger one would change no choice.
const MAX_PENALTY_MS: f64 = 3_000.0;

/// Half-life of the penalty, in milliseconds. A restarted server gets requests again within
/// seconds.
const HALF_LIFE_MS: f64 = 700.0;

/// Factor by which a success reduces the penalty.
const SUCCESS_FACTOR: f64 = 0.7;

/// Penalty of a server for recent failures, which decays over time and with each success.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    penalty_ms: f64,
    updated_at: Option<Instant>,
}

impl Health {
    /// Time to add to the estimated cost of the server, in milliseconds.
    pub(crate) fn penalty_ms(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at else {
            return 0.0;
        };
        #[expect(
            clippy::cast_precision_loss,
            reason = "durations of seconds fit exactly"
        )]
        let elapsed = clock::between_ms(updated_at, now) as f64;
        self.penalty_ms * (-elapsed / HALF_LIFE_MS).exp2()
    }

    pub(crate) fn record_failure(&mut self, now: Instant) {
        self.penalty_ms = (self.penalty_ms(now) * 2.0 + FAILURE_MS).min(MAX_PENALTY_MS);
        self.updated_at = Some(now);
    }

    pub(crate) fn record_success(&mut self, now: Instant) {
        if self.updated_at.is_none() {
            return;
        }
        self.penalty_ms = self.penalty_ms(now) * SUCCESS_FACTOR;
        self.updated_at = Some(now);
    }
}
