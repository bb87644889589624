//! Simulated node that processes its work at the speed of its share of a processor.

use mulberryyoke_decide::handoff::Trigger;
use mulberryyoke_decide::overload::Overload;
use mulberryyoke_model::Millis;

/// CPU time to serve a request, in milliseconds.
const SERVE_MS: f64 = 0.5;

/// CPU time to forward a request, in milliseconds.
const FORWARD_MS: f64 = 0.1;

/// Time between measurements of the delay, in milliseconds.
pub(crate) const STEP_MS: Millis = 50;

#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) thousandths: u32,
    /// CPU time of the pending work, in milliseconds.
    pending_ms: f64,
    pub(crate) overload: Overload,
    pub(crate) handoff: Trigger,
    /// Results of the balancer's last two readiness probes.
    pub(crate) probes: [bool; 2],
}

impl Node {
    pub(crate) fn new(thousandths: u32) -> Self {
        Self {
            thousandths,
            pending_ms: 0.0,
            overload: Overload::default(),
            handoff: Trigger::default(),
            probes: [true; 2],
        }
    }

    /// Returns the scheduling delay of new work, in milliseconds.
    pub(crate) fn delay_ms(&self) -> f64 {
        self.pending_ms * 1_000.0 / f64::from(self.thousandths)
    }

    pub(crate) fn serve(&mut self) -> f64 {
        self.pending_ms += SERVE_MS;
        self.delay_ms()
    }

    pub(crate) fn forward(&mut self) {
        self.pending_ms += FORWARD_MS;
    }

    /// Processes work until the next measurement, and measures.
    pub(crate) fn step(&mut self, now: Millis) {
        let done = f64::from(self.thousandths) / 1_000.0 * STEP_MS as f64;
        self.pending_ms = (self.pending_ms - done).max(0.0);
        let delay_ms = self.delay_ms() as u64;
        self.overload.record_delay(delay_ms, now);
        self.handoff
            .record_delay(self.overload.mean_delay_ms(), now);
    }

    /// Records a readiness probe.
    pub(crate) fn probe(&mut self, now: Millis) {
        self.probes = [self.probes[1], now >= self.overload.until()];
    }

    /// Returns whether the balancer sends this node new connections.
    pub(crate) fn is_in_rotation(&self) -> bool {
        self.probes.contains(&true)
    }
}
