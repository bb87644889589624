//! Overload detection by task scheduling delay, and how long callers are sent elsewhere.
//!
//! The balancer hashes callers onto nodes, so small nodes get as much load as large ones. A node
//! that accepts its callers again as soon as it has recovered is overloaded again within seconds.
//! The backoff therefore doubles each time the overload recurs, which prevents flapping.

use mulberryyoke_model::Millis;

/// Mean delay above which a node is overloaded, in milliseconds: less than the delay at which
/// connections go unanswered, and half of the shortest latency
/// objective of a plain service.
const OVERLOAD_DELAY_MS: u64 = 80;

/// Mean delay at or below which a node has recovered, in milliseconds.
const RECOVERY_DELAY_MS: u64 = 20;

/// Divisor of the moving average: a measurement has this fraction of its weight.
const SMOOTHING: u64 = 4;

/// Initial and maximum backoff, in milliseconds. The balancer probes readiness once a second and
/// needs two probes each to remove a node and to add it again.
const BACKOFF_MS: (u64, u64) = (5_000, 20_000);

/// Time after a backoff within which another overload is taken to be caused by the same load, in
/// milliseconds.
const RECURRENCE_MS: u64 = 8_000;

/// Mean scheduling delay of a node, and the period during which callers are sent elsewhere.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overload {
    mean_delay_ms: u64,
    is_overloaded: bool,
    since: Millis,
    until: Millis,
    backoff_ms: u64,
}

impl Overload {
    /// Records the scheduling delay of a task; returns `true` if the node became overloaded or
    /// recovered.
    pub fn record_delay(&mut self, ms: u64, now: Millis) -> bool {
        self.mean_delay_ms = (self.mean_delay_ms * (SMOOTHING - 1) + ms) / SMOOTHING;
        let was_overloaded = self.is_overloaded;
        let threshold_ms = if was_overloaded {
            RECOVERY_DELAY_MS
        } else {
            OVERLOAD_DELAY_MS
        };
        self.is_overloaded = self.mean_delay_ms > threshold_ms;
        if self.is_overloaded && !was_overloaded {
            self.start_backoff(now);
        }
        was_overloaded != self.is_overloaded
    }

    /// Returns the moving average of the scheduling delay, in milliseconds.
    #[must_use]
    pub const fn mean_delay_ms(&self) -> u64 {
        self.mean_delay_ms
    }

    /// Returns whether the node is overloaded.
    #[must_use]
    pub const fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }

    /// Returns the start of the current or last backoff.
    #[must_use]
    pub const fn since(&self) -> Millis {
        self.since
    }

    /// Returns the end of the backoff, [`Millis::MAX`] while the node is overloaded.
    #[must_use]
    pub const fn until(&self) -> Millis {
        if self.is_overloaded {
            Millis::MAX
        } else {
            self.until
        }
    }

    fn start_backoff(&mut self, now: Millis) {
        let recurs = self.backoff_ms > 0 && now < self.until.saturating_add(RECURRENCE_MS);
        self.backoff_ms = if recurs {
            (2 * self.backoff_ms).min(BACKOFF_MS.1)
        } else {
            BACKOFF_MS.0
        };
        if now >= self.until {
            self.since = now;
        }
        self.until = now.saturating_add(self.backoff_ms);
    }
}
