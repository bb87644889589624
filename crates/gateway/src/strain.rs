//! Whether this process has more to do than its processor can.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use mulberryyoke_event::{Event, log};
use tokio::time::{Instant, sleep};

use crate::clock;
use crate::core::Core;

/// Time between measurements.
const PERIOD: Duration = Duration::from_millis(50);

/// Lateness of tasks from which callers are sent elsewhere, in milliseconds: half of
/// the shortest objective of a plain service, and before connections go unanswered.
const STRAINED_MS: u64 = 80;

/// Lateness of tasks below which callers are taken again, in milliseconds.
const EASED_MS: u64 = 20;

/// Time after which the balancer sends new connections elsewhere, in milliseconds: it asks
/// once a second and goes by two answers. Until then it sends them back to this node, where
/// a refusal on a new connection takes seven system calls and one on a kept one two.
const AWAY_MS: u64 = 2_200;

/// Weight of a measurement, as its divisor.
const WEIGHT: u64 = 4;

/// How late this process is with its tasks.
#[derive(Debug, Default)]
pub(crate) struct Strain {
    late_ms: AtomicU64,
    is_strained: AtomicBool,
    /// When callers began to be sent elsewhere, in milliseconds of this process's clock.
    since_ms: AtomicU64,
}

impl Strain {
    /// Whether callers should go elsewhere.
    pub(crate) fn is_strained(&self) -> bool {
        self.is_strained.load(Ordering::Relaxed)
    }

    /// Whether callers that are connected should come back on new connections: these
    /// go elsewhere only once the balancer has seen twice that this node is not ready.
    pub(crate) fn sends_away(&self) -> bool {
        let since_ms = self.since_ms.load(Ordering::Relaxed);
        self.is_strained() && clock::now_ms().saturating_sub(since_ms) >= AWAY_MS
    }

    /// Notes by how much a task was late; `true` if that changes what callers should do.
    fn note(&self, ms: u64) -> bool {
        let late_ms = self.late_ms.load(Ordering::Relaxed);
        let late_ms = (late_ms * (WEIGHT - 1) + ms) / WEIGHT;
        self.late_ms.store(late_ms, Ordering::Relaxed);
        let was_strained = self.is_strained();
        let is_strained = late_ms > if was_strained { EASED_MS } else { STRAINED_MS };
        self.is_strained.store(is_strained, Ordering::Relaxed);
        if is_strained && !was_strained {
            self.since_ms.store(clock::now_ms(), Ordering::Relaxed);
        }
        was_strained != is_strained
    }
}

/// Measures until the gateway ends.
pub(crate) async fn measure(core: Arc<Core>) {
    loop {
        let due = Instant::now() + PERIOD;
        tokio::select! {
            () = core.stop.end.cancelled() => return,
            () = sleep(PERIOD) => {}
        }
        let late_ms = clock::between_ms(due, Instant::now());
        if core.strain.note(late_ms) {
            log!(core.logger, Event::Strained,
                "strained" => core.strain.is_strained(), "late_ms" => late_ms);
        }
    }
}
