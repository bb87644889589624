//! Service time of a pool of plain servers.

/// Service time that is assumed without samples, in milliseconds.
const INITIAL_MS: f64 = 60.0;

/// Shortest and longest accepted service time, in milliseconds.
const BOUNDS_MS: (f64, f64) = (1.0, 10_000.0);

/// Smoothing factor of the mean.
const SMOOTHING: f64 = 0.05;

/// Multiple of the mean to which a sample is limited, so that a stalled server changes it by
/// little.
const MAX_EXCESS: f64 = 4.0;

/// Mean time that a server of normal speed takes for a request, without waiting for a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Service {
    mean_ms: f64,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            mean_ms: INITIAL_MS,
        }
    }
}

impl Service {
    /// Mean service time, in milliseconds.
    #[must_use]
    pub const fn mean_ms(self) -> f64 {
        self.mean_ms
    }

    /// Records that a request took `ms` at a server with this slowdown, which had `slots` and this
    /// number of `requests` when it was sent.
    pub fn record(&mut self, ms: f64, slowdown: f64, requests: u32, slots: u32) {
        let slots = slots.max(1);
        let excess = requests.saturating_add(1).saturating_sub(slots);
        let waits = f64::from(excess) / f64::from(slots);
        let ms = ms / slowdown / (1.0 + waits);
        let ms = ms.min(self.mean_ms * MAX_EXCESS);
        let ms = ms.clamp(BOUNDS_MS.0, BOUNDS_MS.1);
        self.mean_ms += (ms - self.mean_ms) * SMOOTHING;
    }
}
