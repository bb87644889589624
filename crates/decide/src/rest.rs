//! The time in which a server wants no requests from a router, and how they begin again after it.
//!
//! The load that it answers: servers that turn everything away are idle, so that they are the best
//! choice for each request. Once the time is over one request at a time is tried, until the server
//! has answered one: what waited meanwhile does not meet it at once.

use mulberryyoke_model::{Millis, whole_u32};

/// Longest rest that is granted, in milliseconds: a server that asks for more is tried once in so
/// long, so that a faulty one is not out for good.
pub const MOST_MS: u64 = 120_000;

/// Time between two requests that are tried after a rest, in milliseconds: a server that takes
/// them answers within it.
pub const TRIAL_MS: u64 = 500;

/// Time over which requests come back in any case that were refused for rest, in milliseconds.
const SPREAD_MS: f64 = 500.0;

/// When a request comes back that is refused because every server rests, the first for `wait_ms`
/// milliseconds more; `drawn` is from 0 to 1. Those refused in a rest come back over as long a
/// time after it.
#[must_use]
pub fn retry_ms(wait_ms: u64, drawn: f64) -> u32 {
    let wait_ms = f64::from(u32::try_from(wait_ms).unwrap_or(u32::MAX));
    whole_u32(wait_ms + (wait_ms + SPREAD_MS) * drawn)
}

/// Whether a server wants requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Rest {
    /// It takes them.
    #[default]
    Open,
    /// It has asked for rest, and has answered no request since.
    Asked {
        /// When the rest is over.
        until: Millis,
        /// When the next request may be tried.
        trial: Millis,
    },
}

impl Rest {
    /// Notes that the server asks for so much rest from now on. It may lengthen a rest, and does
    /// not shorten one.
    pub fn ask(&mut self, rest_ms: u64, now: Millis) {
        let asked = now.saturating_add(rest_ms.min(MOST_MS));
        if asked <= now {
            return;
        }
        let (until, trial) = match *self {
            Self::Open => (0, 0),
            Self::Asked { until, trial } => (until, trial),
        };
        let until = until.max(asked);
        let trial = trial.max(until);
        *self = Self::Asked { until, trial };
    }

    /// Whether the server wants none now.
    #[must_use]
    pub const fn is_resting(self, now: Millis) -> bool {
        match self {
            Self::Open => false,
            Self::Asked { until, .. } => now < until,
        }
    }

    /// Time until a request may be sent, in milliseconds; 0 if one may be sent now.
    #[must_use]
    pub const fn wait_ms(self, now: Millis) -> u64 {
        match self {
            Self::Open => 0,
            Self::Asked { trial, .. } => trial.saturating_sub(now),
        }
    }

    /// Notes that a request is about to be sent.
    pub fn send(&mut self, now: Millis) {
        if let Self::Asked { trial, .. } = self {
            *trial = (*trial).max(now.saturating_add(TRIAL_MS));
        }
    }

    /// Notes that the server has answered a request; `true` if it takes them again by that. What
    /// comes during the rest was asked before it.
    pub fn answer(&mut self, now: Millis) -> bool {
        let is_back = *self != Self::Open && !self.is_resting(now);
        if is_back {
            *self = Self::Open;
        }
        is_back
    }
}
