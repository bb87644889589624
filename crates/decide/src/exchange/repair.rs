//! Comparing what two peers know of third parties.
//!
//! A peer that cannot reach an origin, or that has come to know the fleet after
//! the origin's end, learns of it from others: now and then each says how far it
//! knows every origin, and is sent what it lacks.

use std::collections::HashMap;

use mulberryyoke_model::{Extract, Incarnation, Known, Millis};

use super::account::group;
use super::inbound::Inbound;

/// Ticks between two comparisons with a peer.
pub(super) const INTERVAL: u64 = 10;

/// What the holder of `origins` knows, itself included.
pub(super) fn known(
    own: Incarnation,
    origins: &HashMap<Incarnation, Inbound>,
    now: Millis,
    fresh_ms: Millis,
) -> Vec<Known> {
    let own = Known {
        origin: own,
        sum: u64::MAX,
    };
    let known = origins.values().map(|origin| origin.known(now, fresh_ms));
    known.chain([own]).collect()
}

/// What a peer lacks of other origins, at most `most` counters of each.
pub(super) fn extracts(
    origins: &HashMap<Incarnation, Inbound>,
    peer: Incarnation,
    known: &[Known],
    round: usize,
    most: usize,
) -> Vec<Extract> {
    let known: HashMap<Incarnation, u64> = known.iter().map(|k| (k.origin, k.sum)).collect();
    let lacking = origins.iter().filter(|(origin, inbound)| {
        let sum = known.get(*origin).copied().unwrap_or(0);
        **origin != peer && inbound.compared() > sum
    });
    let extracts = lacking.map(|(origin, inbound)| Extract {
        origin: *origin,
        started_at: inbound.life().started_at,
        tallies: group(inbound.slice(round, most)),
    });
    extracts.collect()
}
