//! The time in which a server wants no requests from a router, and how they begin again after it.
//!
//! The load that it answers: servers that turn everything away are idle, so that they are the best
//! choice for each request. Once the time is over one request at a time is tried, until the server
//! has answered one: what waited meanwhile does not meet it at once.

use mulberryyoke_model::{Millis, whole_u32};

/// Longest rest that is granted, in milliseconds: a server that asks for more is tried once in so
/// long, so that a faulty one is not out for good.
pub const MAX_DELAY_MS: u64 = 120_000;

/// Time between two requests that are tried after a rest, in milliseconds: a server that takes
/// them answers within it.
pub const PROBE_INTERVAL_MS: u64 = 500;

/// Time over which requests come back in any case that were refused for rest, in milliseconds.
const SPREAD_MS: f64 = 500.0;

/// When a request comes back that is refused because every server rests, the first for `wait_ms`
/// milliseconds more; `drawn` is from 0 to 1. Those refused in a rest come back over as long a
/// time after it.
#[must_use]
pub fn retry_after_ms(wait_ms: u64, drawn: f64) -> u32 {
    let wait_ms = f64::from(u32::try_from(wait_ms).unwrap_or(u32::MAX));
    whole_u32(wait_ms + (wait_ms + SPREAD_MS) * drawn)
}

/// Whether a server wants requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Pushback {
    /// It takes them.
    #[default]
    Inactive,
    /// It has asked for rest, and has answered no request since.
    Active {
        /// When the rest is over.
        until: Millis,
        /// When the next request may be tried.
        next_probe: Millis,
    },
}

impl Pushback {
    /// Notes that the server asks for so much rest from now on. It may lengthen a rest, and does
    /// not shorten one.
    pub fn extend(&mut self, rest_ms: u64, now: Millis) {
        let asked = now.saturating_add(rest_ms.min(MAX_DELAY_MS));
        if asked <= now {
            return;
        }
        let (until, next_probe) = match *self {
            Self::Inactive => (0, 0),
            Self::Active { until, next_probe } => (until, next_probe),
        };
        let until = until.max(asked);
        let next_probe = next_probe.max(until);
        *self = Self::Active { until, next_probe };
    }

    /// Whether the server wants none now.
    #[must_use]
    pub const fn is_active(self, now: Millis) -> bool {
        match self {
            Self::Inactive => false,
            Self::Active { until, .. } => now < until,
        }
    }

    /// Time until a request may be sent, in milliseconds; 0 if one may be sent now.
    #[must_use]
    pub const fn wait_ms(self, now: Millis) -> u64 {
        match self {
            Self::Inactive => 0,
            Self::Active { next_probe, .. } => next_probe.saturating_sub(now),
        }
    }

    /// Notes that a request is about to be sent.
    pub fn record_send(&mut self, now: Millis) {
        if let Self::Active { next_probe, .. } = self {
            *next_probe = (*next_probe).max(now.saturating_add(PROBE_INTERVAL_MS));
        }
    }

    /// Notes that the server has answered a request; `true` if it takes them again by that. What
    /// comes during the rest was asked before it.
    pub fn record_response(&mut self, now: Millis) -> bool {
        let is_back = *self != Self::Inactive && !self.is_active(now);
        if is_back {
            *self = Self::Inactive;
        }
        is_back
    }
}
