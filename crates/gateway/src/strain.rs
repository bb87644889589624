//! Whether this process has more to do than its processor can.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use mulberryyoke_decide::handoff::Trigger;
use mulberryyoke_decide::overload::Overload;
use mulberryyoke_event::{Event, log};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::clock;
use crate::core::Core;

/// Time between measurements.
const PERIOD: Duration = Duration::from_millis(50);

/// Time after which the balancer sends new connections elsewhere, in milliseconds: it asks
/// once a second and goes by two answers. Until then it sends them back to this node, where
/// a refusal on a new connection takes seven system calls and one on a kept one two.
const SEEN_MS: u64 = 2_200;

/// Since and until when callers go elsewhere, in milliseconds of this process's clock.
#[derive(Debug, Default)]
pub(crate) struct Strain {
    since_ms: AtomicU64,
    until_ms: AtomicU64,
    /// Until when it is behind with its work, likewise.
    behind_until_ms: AtomicU64,
    /// Whether it has more to do than its processor can.
    is_strained: watch::Sender<bool>,
}

impl Strain {
    /// Whether callers should go elsewhere.
    pub(crate) fn is_away(&self) -> bool {
        clock::now_ms() < self.until_ms.load(Ordering::Relaxed)
    }

    /// Whether it is behind with its work: others that have more of a processor should serve
    /// callers that connect.
    pub(crate) fn is_behind(&self) -> bool {
        clock::now_ms() < self.behind_until_ms.load(Ordering::Relaxed)
    }

    /// Whether callers that are connected should come back on new connections: these
    /// go elsewhere only once the balancer has seen twice that this node is not ready.
    pub(crate) fn sends_away(&self) -> bool {
        let since_ms = self.since_ms.load(Ordering::Relaxed);
        self.is_away() && clock::now_ms().saturating_sub(since_ms) >= SEEN_MS
    }

    /// Waits until the node has more to do than its processor can, or no longer has.
    pub(crate) async fn wait(&self, is_strained: bool) {
        let mut seen = self.is_strained.subscribe();
        // The sender lives as long as this node.
        let _ = seen.wait_for(|seen| *seen == is_strained).await;
    }

    fn set(&self, overload: &Overload) {
        self.since_ms.store(overload.since(), Ordering::Relaxed);
        self.until_ms.store(overload.until(), Ordering::Relaxed);
        self.is_strained.send_replace(overload.is_overloaded());
    }
}

/// Measures until the gateway ends.
pub(crate) async fn measure(core: Arc<Core>) {
    let mut overload = Overload::default();
    let mut behind = Trigger::default();
    loop {
        let due = Instant::now() + PERIOD;
        tokio::select! {
            () = core.shutdown.terminate.cancelled() => return,
            () = sleep(PERIOD) => {}
        }
        let late_ms = clock::between_ms(due, Instant::now());
        let is_changed = overload.record_delay(late_ms, clock::now_ms());
        behind.record_delay(overload.mean_delay_ms(), clock::now_ms());
        let until = behind.until();
        core.strain.behind_until_ms.store(until, Ordering::Relaxed);
        if is_changed {
            core.strain.set(&overload);
            log!(core.logger, Event::Overloaded,
                "strained" => overload.is_overloaded(), "late_ms" => late_ms);
        }
    }
}
