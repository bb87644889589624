//! Declaration of waiting requests by a router to the sidecars.
//!
//! Declaring every request to every sidecar would cost more than all other control
//! traffic. A sidecar mainly needs to know whether a customer has waiting requests
//! and whether any of them is urgent. Therefore:
//!
//! - Counts are declared again only after a significant change.
//! - A customer with few waiting requests is declared to few sidecars. The fan-out
//!   doubles the longer the requests wait.
//!
//! No server stays idle as a result: a sidecar with a free slot gets all requests,
//! and the fan-out is at least large enough for every sidecar to get a share of the
//! customers.

use std::collections::HashMap;

use mulberryyoke_model::{Class, CustomerId, Interest, Millis, ServerId};
use xxhash_rust::xxh3::xxh3_64;

/// Number of sidecars that a customer is declared to, per waiting request.
pub const FANOUT_PER_REQUEST: usize = 4;

/// Waiting time after which the fan-out doubles, in milliseconds.
pub const FANOUT_DOUBLING_MS: Millis = 1_000;

/// Factor by which a count has to change to be declared again.
const MIN_CHANGE_FACTOR: u32 = 4;

/// Maximum number of doublings of the fan-out.
const MAX_DOUBLINGS: Millis = 16;

/// Number of sidecars that a customer's waiting requests are declared to, out of
/// `eligible` sidecars, while `customers` have waiting requests. The result may
/// exceed `eligible`.
#[must_use]
pub fn fanout(interest: &Interest, eligible: usize, customers: usize, now: Millis) -> usize {
    let coverage = (FANOUT_PER_REQUEST * eligible).div_ceil(customers.max(1));
    let doublings = now.saturating_sub(interest.since) / FANOUT_DOUBLING_MS;
    let per_request = FANOUT_PER_REQUEST << doublings.min(MAX_DOUBLINGS);
    let fanout = per_request.saturating_mul(interest.total() as usize);
    fanout.max(coverage)
}

/// Whether a customer's waiting requests are declared to the sidecar of `server`.
/// Sidecars are selected by rendezvous hashing with `salt`, which changes whenever
/// the customer starts to wait. `eligible` are the servers that take new requests,
/// `customers` is the number of customers with waiting requests.
#[must_use]
pub fn is_target(
    interest: &Interest,
    salt: u64,
    server: ServerId,
    eligible: &[ServerId],
    customers: usize,
    now: Millis,
) -> bool {
    let fanout = fanout(interest, eligible.len(), customers, now);
    if eligible.len() <= fanout {
        return true;
    }
    let own = weight(interest.customer, salt, server);
    let higher = eligible
        .iter()
        .filter(|&&other| weight(interest.customer, salt, other) > own);
    higher.take(fanout).count() < fanout
}

fn weight(customer: CustomerId, salt: u64, server: ServerId) -> u64 {
    let mut bytes = [0; 16];
    bytes[..4].copy_from_slice(&customer.0.to_le_bytes());
    bytes[4..8].copy_from_slice(&server.0.to_le_bytes());
    bytes[8..].copy_from_slice(&salt.to_le_bytes());
    xxh3_64(&bytes)
}

/// Waiting requests as known to one sidecar: the last declared counts, less the
/// slots that it has reserved since.
#[derive(Clone, Debug, Default)]
pub struct DeclaredDemand {
    waiting: HashMap<CustomerId, [u16; 3]>,
}

impl DeclaredDemand {
    /// Filters `interest` down to the significant changes and records them as
    /// declared.
    pub fn update(&mut self, mut interest: Vec<Interest>) -> Vec<Interest> {
        interest.retain(|current| self.has_changed(current));
        for interest in &interest {
            if interest.total() == 0 {
                self.waiting.remove(&interest.customer);
            } else {
                self.waiting.insert(interest.customer, interest.waiting);
            }
        }
        interest
    }

    /// Records that the sidecar has reserved a slot for a request of the customer's
    /// best class.
    pub fn record_grant(&mut self, customer: CustomerId) {
        let Some(waiting) = self.waiting.get_mut(&customer) else {
            return;
        };
        if let Some(best) = waiting.iter_mut().find(|count| **count > 0) {
            *best -= 1;
        }
        if *waiting == [0; 3] {
            self.waiting.remove(&customer);
        }
    }

    fn has_changed(&self, interest: &Interest) -> bool {
        let declared = self.waiting.get(&interest.customer);
        let declared = declared.copied().unwrap_or_default();
        let urgent = Class::Urgent.index();
        differs_significantly(declared[urgent].into(), interest.waiting[urgent].into())
            || differs_significantly(declared.into_iter().map(u32::from).sum(), interest.total())
    }

    /// Whether the sidecar knows of waiting requests of a customer.
    #[must_use]
    pub fn contains(&self, customer: CustomerId) -> bool {
        self.waiting.contains_key(&customer)
    }

    /// Whether the sidecar knows of no waiting requests.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Forgets all declared counts, before a full declaration.
    pub fn clear(&mut self) {
        self.waiting.clear();
    }

    /// Customers with waiting requests known to the sidecar.
    pub fn customers(&self) -> impl Iterator<Item = CustomerId> {
        self.waiting.keys().copied()
    }
}

fn differs_significantly(declared: u32, current: u32) -> bool {
    let (less, more) = (declared.min(current), declared.max(current));
    more > 0 && more >= MIN_CHANGE_FACTOR * less
}
