//! Server pushback: a server asks a router to send it no requests for some time.
//!
//! A server that rejects everything is idle, and would otherwise look like the best choice for
//! every request. Once the delay has passed, single probe requests are sent until the server
//! responds to one, so that the accumulated backlog does not hit it all at once.

use mulberryyoke_model::{Millis, saturating_u32};

/// Maximum delay that is honoured, in milliseconds, so that a faulty server is probed eventually.
pub const MAX_DELAY_MS: u64 = 120_000;

/// Time between probe requests after the delay, in milliseconds. A server that accepts requests
/// responds within this time.
pub const PROBE_INTERVAL_MS: u64 = 500;

/// Minimum jitter of retries, in milliseconds.
const MIN_JITTER_MS: f64 = 500.0;

/// Returns the time after which a caller should retry a request that was refused because all
/// servers push back, the first of them for another `wait_ms` milliseconds. `drawn` is a random
/// number from 0 to 1; it spreads the retries over a period as long as the wait.
#[must_use]
pub fn retry_after_ms(wait_ms: u64, drawn: f64) -> u32 {
    let wait_ms = f64::from(u32::try_from(wait_ms).unwrap_or(u32::MAX));
    saturating_u32(wait_ms + (wait_ms + MIN_JITTER_MS) * drawn)
}

/// Pushback state of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Pushback {
    /// The server accepts requests.
    #[default]
    Inactive,
    /// The server has pushed back and not responded to a request since.
    Active {
        /// When the delay ends.
        until: Millis,
        /// When the next probe request may be sent.
        next_probe: Millis,
    },
}

impl Pushback {
    /// Records that the server asked for a delay from now on. It can extend the current delay but
    /// not shorten it.
    pub fn extend(&mut self, delay_ms: u64, now: Millis) {
        let requested = now.saturating_add(delay_ms.min(MAX_DELAY_MS));
        if requested <= now {
            return;
        }
        let (until, next_probe) = match *self {
            Self::Inactive => (0, 0),
            Self::Active { until, next_probe } => (until, next_probe),
        };
        let until = until.max(requested);
        let next_probe = next_probe.max(until);
        *self = Self::Active { until, next_probe };
    }

    /// Returns whether the delay has not yet passed.
    #[must_use]
    pub const fn is_active(self, now: Millis) -> bool {
        match self {
            Self::Inactive => false,
            Self::Active { until, .. } => now < until,
        }
    }

    /// Returns the time until a request may be sent, in milliseconds.
    #[must_use]
    pub const fn wait_ms(self, now: Millis) -> u64 {
        match self {
            Self::Inactive => 0,
            Self::Active { next_probe, .. } => next_probe.saturating_sub(now),
        }
    }

    /// Records that a request is about to be sent.
    pub fn record_send(&mut self, now: Millis) {
        if let Self::Active { next_probe, .. } = self {
            *next_probe = (*next_probe).max(now.saturating_add(PROBE_INTERVAL_MS));
        }
    }

    /// Records a response from the server; returns `true` if it ends the pushback. A response
    /// during the delay does not, because its request was sent before the pushback.
    pub fn record_response(&mut self, now: Millis) -> bool {
        let is_recovered = *self != Self::Inactive && !self.is_active(now);
        if is_recovered {
            *self = Self::Inactive;
        }
        is_recovered
    }
}
