//! Anti-entropy repair between peers.
//!
//! A router that cannot reach an origin, or that started after the origin stopped,
//! gets its counters from other peers: peers periodically exchange digests and send
//! each other the counters that are missing.

use std::collections::HashMap;

use mulberryyoke_model::{Incarnation, Millis, OriginCounters, OriginSum};

use super::account::group;
use super::inbound::Inbound;

/// Ticks between two digests to the same peer.
pub(super) const INTERVAL_TICKS: u64 = 10;

/// Digest of all origins, including this router.
pub(super) fn digest(
    own: Incarnation,
    origins: &HashMap<Incarnation, Inbound>,
    now: Millis,
    fresh_ms: Millis,
) -> Vec<OriginSum> {
    let own = OriginSum {
        origin: own,
        sum: u64::MAX,
    };
    let known = origins.values().map(|origin| origin.digest(now, fresh_ms));
    known.chain([own]).collect()
}

/// Counters of other origins that are missing from a peer's digest, at most
/// `page_size` per origin.
pub(super) fn missing_counters(
    origins: &HashMap<Incarnation, Inbound>,
    peer: Incarnation,
    digest: &[OriginSum],
    page: usize,
    page_size: usize,
) -> Vec<OriginCounters> {
    let sums: HashMap<Incarnation, u64> = digest.iter().map(|k| (k.origin, k.sum)).collect();
    let missing = origins.iter().filter(|(origin, inbound)| {
        let sum = sums.get(*origin).copied().unwrap_or(0);
        **origin != peer && inbound.checkpoint() > sum
    });
    let counters = missing.map(|(origin, inbound)| OriginCounters {
        origin: *origin,
        started_at: inbound.instance().started_at,
        pools: group(inbound.page(page, page_size)),
    });
    counters.collect()
}
