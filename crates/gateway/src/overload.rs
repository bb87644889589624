//! Overload detection by the scheduling delay of this process.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use mulberryyoke_decide::handoff::Trigger;
use mulberryyoke_decide::overload::Overload as Detector;
use mulberryyoke_event::{Event, log};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::clock;
use crate::core::Core;

/// Interval between measurements.
const INTERVAL: Duration = Duration::from_millis(50);

/// Time until the balancer sends new connections elsewhere, in milliseconds: two readiness probes
/// a second apart. Connections closed before then would be reopened to this node, at a higher cost
/// than refusing requests on the open ones.
const PROBE_DELAY_MS: u64 = 2_200;

/// Overload state of this node. Times are in milliseconds of [`clock::now_ms`].
#[derive(Debug, Default)]
pub(crate) struct Overload {
    backoff_since_ms: AtomicU64,
    backoff_until_ms: AtomicU64,
    handoff_until_ms: AtomicU64,
    is_overloaded: watch::Sender<bool>,
}

impl Overload {
    /// Returns whether the balancer should send callers elsewhere.
    pub(crate) fn is_backing_off(&self) -> bool {
        clock::now_ms() < self.backoff_until_ms.load(Ordering::Relaxed)
    }

    /// Returns whether new connections should be handed off to larger gateways.
    pub(crate) fn hands_off(&self) -> bool {
        clock::now_ms() < self.handoff_until_ms.load(Ordering::Relaxed)
    }

    /// Returns whether open connections should be closed, so that their callers reconnect to
    /// another node. `false` until the balancer has noticed that this node is not ready.
    pub(crate) fn closes_connections(&self) -> bool {
        let since_ms = self.backoff_since_ms.load(Ordering::Relaxed);
        self.is_backing_off() && clock::now_ms().saturating_sub(since_ms) >= PROBE_DELAY_MS
    }

    /// Waits until the node is overloaded, or until it is not.
    pub(crate) async fn wait_for(&self, is_overloaded: bool) {
        let mut receiver = self.is_overloaded.subscribe();
        // Cannot fail: `self` owns the sender.
        let _ = receiver.wait_for(|value| *value == is_overloaded).await;
    }

    fn set(&self, detector: &Detector) {
        self.backoff_since_ms
            .store(detector.since(), Ordering::Relaxed);
        self.backoff_until_ms
            .store(detector.until(), Ordering::Relaxed);
        self.is_overloaded.send_replace(detector.is_overloaded());
    }
}

/// Measures the scheduling delay until the gateway terminates.
pub(crate) async fn monitor(core: Arc<Core>) {
    let mut detector = Detector::default();
    let mut handoff = Trigger::default();
    loop {
        let due = Instant::now() + INTERVAL;
        tokio::select! {
            () = core.shutdown.terminate.cancelled() => return,
            () = sleep(INTERVAL) => {}
        }
        let delay_ms = clock::between_ms(due, Instant::now());
        let is_changed = detector.record_delay(delay_ms, clock::now_ms());
        handoff.record_delay(detector.mean_delay_ms(), clock::now_ms());
        let until = handoff.until();
        core.overload
            .handoff_until_ms
            .store(until, Ordering::Relaxed);
        if is_changed {
            core.overload.set(&detector);
            log!(core.logger, Event::Overloaded,
                "strained" => detector.is_overloaded(), "late_ms" => delay_ms);
        }
    }
}
