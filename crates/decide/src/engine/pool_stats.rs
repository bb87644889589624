//! Observed latency and request duration of the servers in a pool.

use super::Latency;
use crate::plain::Service;

/// Initial slot hold time: a stream of a few hundred tokens on a loaded server.
const INITIAL_HOLD_MS: f64 = 2_000.0;

/// Shortest and longest accepted slot hold time.
const HOLD_BOUNDS_MS: (f64, f64) = (20.0, 20_000.0);

/// Smoothing factor of the hold time, for about ten observed requests per second.
const HOLD_SMOOTHING: f64 = 0.03;

/// Time to first token and slot hold time over observed requests.
///
/// Kept per pool because a single gateway sees too few requests of each server to follow changes
/// in load. The hold time is learnt because it decides the waiting time where slots run out
/// before prefill capacity does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolStats {
    latency: Latency,
    mean_hold_ms: f64,
    /// Of a plain pool only.
    service: Service,
}

impl Default for PoolStats {
    fn default() -> Self {
        Self {
            latency: Latency::default(),
            mean_hold_ms: INITIAL_HOLD_MS,
            service: Service::default(),
        }
    }
}

impl PoolStats {
    /// Time to first token of a server of usual speed.
    #[must_use]
    pub const fn latency(self) -> Latency {
        self.latency
    }

    /// Mean time that a request holds a slot, in milliseconds.
    #[must_use]
    pub const fn mean_hold_ms(self) -> f64 {
        self.mean_hold_ms
    }

    /// Service time of a plain pool.
    #[must_use]
    pub const fn service(self) -> Service {
        self.service
    }

    /// Records that a plain request took `ms` at a server with this slowdown, which had `slots` and
    /// this number of `requests` when it was sent.
    pub fn record_service(&mut self, ms: f64, slowdown: f64, requests: u32, slots: u32) {
        self.service.record(ms, slowdown, requests, slots);
    }

    /// Records how long a request held its slot, in milliseconds.
    pub fn record_hold(&mut self, ms: f64) {
        let ms = ms.clamp(HOLD_BOUNDS_MS.0, HOLD_BOUNDS_MS.1);
        self.mean_hold_ms += (ms - self.mean_hold_ms) * HOLD_SMOOTHING;
    }

    /// Records that a server took `ms` to the first token with `tokens` to prefill.
    pub fn record_first_token(&mut self, tokens: u32, ms: f64) {
        self.latency.record(tokens, ms);
    }
}
