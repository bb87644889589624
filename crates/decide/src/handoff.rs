//! Connection handoff: an overloaded node forwards callers' connections to larger nodes of its
//! zone.
//!
//! The balancer hashes callers onto nodes, so a caller with most of a zone's traffic often lands
//! on one of the smallest nodes. Failing that node's readiness check only moves the caller to the
//! next small one. Forwarding bytes costs a fraction of serving them, so a small node can carry
//! the caller while a large one serves it.

use mulberryyoke_model::Millis;

/// Mean scheduling delay from which connections are handed off, in milliseconds: a tenth of the
/// shortest latency objective, well below the threshold at which callers are sent elsewhere.
const HANDOFF_DELAY_MS: u64 = 10;

/// Time for which connections are still handed off after the delay has dropped, in milliseconds:
/// the handoff itself is what keeps the delay low.
const HOLD_MS: Millis = 3_000;

/// Minimum ratio of a target's processor share to this node's, so that the target has room for
/// both nodes' callers and connections are not handed off in a circle.
const MIN_SIZE_RATIO: u32 = 2;

/// Maximum number of targets tried before a connection is served locally.
const MAX_CANDIDATES: usize = 2;

/// Decides by scheduling delay whether a node hands off connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trigger {
    until: Millis,
}

impl Trigger {
    /// Records the mean scheduling delay.
    pub fn record_delay(&mut self, delay_ms: u64, now: Millis) {
        if delay_ms >= HANDOFF_DELAY_MS {
            self.until = now + HOLD_MS;
        }
    }

    /// Returns until when connections are handed off.
    #[must_use]
    pub const fn until(self) -> Millis {
        self.until
    }
}

/// Returns the ranks of the nodes to which connections may be handed off. `own` is this node's
/// size in thousandths of a processor; `nodes` are the ranks and sizes of the others.
pub fn targets(own: u32, nodes: impl Iterator<Item = (u64, u32)>) -> Vec<u64> {
    let larger = nodes.filter(|(_, size)| *size >= own.saturating_mul(MIN_SIZE_RATIO));
    let mut larger: Vec<u64> = larger.map(|(rank, _)| rank).collect();
    larger.sort_unstable();
    larger
}

/// Returns the targets to try for one connection, in order. `drawn` is a uniform random number
/// that spreads connections evenly; the next target is tried if the first is unavailable.
pub fn candidates<T: Copy>(targets: &[T], drawn: usize) -> impl Iterator<Item = T> {
    let count = targets.len();
    (0..count.min(MAX_CANDIDATES)).map(move |next| targets[(drawn % count + next) % count])
}
