//! To which nodes of its zone a node that is behind with its work hands callers' connections on.
//!
//! The load that it answers: one caller has most of a zone's traffic, and a hash of the callers
//! puts all of it on one node, more often than not on one of the smallest. Nothing moves it but
//! that this node is not ready, and then the next one is as small: in the calm day of a fleet of
//! unequal nodes six of nine small ones were overloaded one after the other while two of five
//! times their size stood idle. Passing bytes on takes a fraction of what serving them takes, so
//! a small node bears the caller as long as a large one serves it.

use mulberryyoke_model::Millis;

/// Lateness of tasks from which connections are handed on, in milliseconds: a tenth of the
/// shortest objective, and well before callers are sent elsewhere.
const BEHIND_MS: u64 = 10;

/// Time for which connections are still handed on once tasks are in time, in milliseconds: they
/// are in time because of that.
const HOLD_MS: Millis = 3_000;

/// Times as much of a processor that a node has to have to be handed connections: it then has
/// room for this node's callers beside its own, and nobody hands on in a circle.
const LARGER: u32 = 2;

/// Nodes that are asked to take over a connection before it is served here.
const ASKED: usize = 2;

/// Whether a node is behind with its work.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trigger {
    until: Millis,
}

impl Trigger {
    /// Notes by how much tasks are late on average.
    pub fn record_delay(&mut self, late_ms: u64, now: Millis) {
        if late_ms >= BEHIND_MS {
            self.until = now + HOLD_MS;
        }
    }

    /// Until when connections are handed on.
    #[must_use]
    pub const fn until(self) -> Millis {
        self.until
    }
}

/// Nodes that may be handed connections, by rank and thousandths of a processor.
pub fn targets(own: u32, nodes: impl Iterator<Item = (u64, u32)>) -> Vec<u64> {
    let larger = nodes.filter(|(_, thousandths)| *thousandths >= own.saturating_mul(LARGER));
    let mut larger: Vec<u64> = larger.map(|(rank, _)| rank).collect();
    larger.sort_unstable();
    larger
}

/// Those of `targets` that are asked for one connection, by a number drawn evenly: all get their
/// part, and the next one is asked where the first cannot be.
pub fn candidates<T: Copy>(targets: &[T], drawn: usize) -> impl Iterator<Item = T> {
    let count = targets.len();
    (0..count.min(ASKED)).map(move |next| targets[(drawn % count + next) % count])
}
