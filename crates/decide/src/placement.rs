//! Choice of a server for a request that can start at once.

use mulberryyoke_model::{CustomerId, ServerId};
use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64;

/// What is known of a server that could take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The server.
    pub server: ServerId,
    /// Whether it is in the router's availability zone.
    pub same_zone: bool,
    /// Slots that should be free.
    pub free_slots: u32,
    /// Slots in all.
    pub slots: u32,
    /// Requests this router has running there.
    pub running: u32,
}

/// The start of a customer's prompt, hashed. Requests that share it gain from
/// the same engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptPrefix(u64);

impl PromptPrefix {
    /// Hashes the start of a prompt.
    #[must_use]
    pub fn of(customer: CustomerId, start: &[u8]) -> Self {
        Self(xxh3_64(start) ^ u64::from(customer.0).wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }

    /// Rank of a server for this prefix, by rendezvous hash; higher is warmer.
    #[must_use]
    pub fn weight(self, server: ServerId) -> u64 {
        weight(self.0, server)
    }

    /// The server of highest weight.
    pub fn preferred_server(self, servers: impl IntoIterator<Item = ServerId>) -> Option<ServerId> {
        servers
            .into_iter()
            .max_by_key(|&server| self.weight(server))
    }
}

/// Rank of a server for a key, by rendezvous hash.
#[must_use]
pub fn weight(key: u64, server: ServerId) -> u64 {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&server.0.to_le_bytes());
    xxh3_64(&bytes)
}

/// Chooses among servers with a free slot: the warm one, else a near one, else
/// the one with the most free slots. `None` when no slot is free.
#[must_use]
pub fn choose(candidates: &[Candidate], prefix: Option<PromptPrefix>) -> Option<ServerId> {
    let warm =
        prefix.and_then(|prefix| prefix.preferred_server(candidates.iter().map(|c| c.server)));
    let free = candidates
        .iter()
        .filter(|candidate| candidate.free_slots > 0);
    let best = free.max_by_key(|candidate| {
        let is_warm = Some(candidate.server) == warm;
        (
            is_warm,
            candidate.same_zone,
            candidate.free_slots,
            candidate.server,
        )
    });
    best.map(|candidate| candidate.server)
}

/// The baseline: the less loaded of two servers drawn at random, whether it
/// has a free slot or not.
pub fn two_random_choices(candidates: &[Candidate], rng: &mut impl Rng) -> Option<ServerId> {
    let last = candidates.len().checked_sub(1)?;
    let one = candidates[rng.random_range(0..=last)];
    let other = candidates[rng.random_range(0..=last)];
    let load = |candidate: &Candidate| {
        let busy = candidate.slots.saturating_sub(candidate.free_slots);
        f64::from(busy.max(candidate.running)) / f64::from(candidate.slots.max(1))
    };
    let less = if load(&other) < load(&one) {
        other
    } else {
        one
    };
    Some(less.server)
}
