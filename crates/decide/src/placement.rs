//! Placement of requests that can start immediately.

use mulberryyoke_model::{CustomerId, ServerId};
use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64;

/// A server that could run the request, as known to the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The server.
    pub server: ServerId,
    /// Whether the server is in the router's availability zone.
    pub same_zone: bool,
    /// Number of slots assumed to be free.
    pub free_slots: u32,
    /// Total number of slots.
    pub slots: u32,
    /// Number of requests of this router that run there.
    pub running: u32,
}

/// Hash of the start of a customer's prompt. Requests with the same prefix share
/// the prefix cache of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptPrefix(u64);

impl PromptPrefix {
    /// Hashes the start of a prompt.
    #[must_use]
    pub fn of(customer: CustomerId, start: &[u8]) -> Self {
        Self(xxh3_64(start) ^ u64::from(customer.0).wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }

    /// Rendezvous weight of a server for this prefix.
    #[must_use]
    pub fn weight(self, server: ServerId) -> u64 {
        weight(self.0, server)
    }

    /// Returns the server with the highest weight.
    pub fn preferred_server(self, servers: impl IntoIterator<Item = ServerId>) -> Option<ServerId> {
        servers
            .into_iter()
            .max_by_key(|&server| self.weight(server))
    }
}

/// Rendezvous weight of a server for a key.
#[must_use]
pub fn weight(key: u64, server: ServerId) -> u64 {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&server.0.to_le_bytes());
    xxh3_64(&bytes)
}

/// Chooses among the servers with a free slot, by prefix affinity, then by zone, then
/// by the number of free slots. Returns `None` if no slot is free.
#[must_use]
pub fn choose(candidates: &[Candidate], prefix: Option<PromptPrefix>) -> Option<ServerId> {
    let preferred =
        prefix.and_then(|prefix| prefix.preferred_server(candidates.iter().map(|c| c.server)));
    let available = candidates
        .iter()
        .filter(|candidate| candidate.free_slots > 0);
    let best = available.max_by_key(|candidate| {
        let is_preferred = Some(candidate.server) == preferred;
        (
            is_preferred,
            candidate.same_zone,
            candidate.free_slots,
            candidate.server,
        )
    });
    best.map(|candidate| candidate.server)
}

/// Baseline policy: the less loaded of two random servers, whether or not it has a
/// free slot.
pub fn two_random_choices(candidates: &[Candidate], rng: &mut impl Rng) -> Option<ServerId> {
    let last = candidates.len().checked_sub(1)?;
    let first = candidates[rng.random_range(0..=last)];
    let second = candidates[rng.random_range(0..=last)];
    let load = |candidate: &Candidate| {
        let busy = candidate.slots.saturating_sub(candidate.free_slots);
        f64::from(busy.max(candidate.running)) / f64::from(candidate.slots.max(1))
    };
    let less_loaded = if load(&second) < load(&first) {
        second
    } else {
        first
    };
    Some(less_loaded.server)
}
