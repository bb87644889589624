//! What a router tells each sidecar of its waiting requests, and when.
//!
//! Telling every sidecar of every request costs more than all other control
//! traffic, and a sidecar needs little of it: whether anything of a customer
//! waits, and whether any of it is urgent. So counts are told again only when
//! they differ by much, and a customer with few waiting requests is told to a
//! few sidecars, to more the longer it waits. No server idles for it: one with
//! a free slot is told everything, and so many are told of each customer that
//! every sidecar knows of some.

use std::collections::HashMap;

use mulberryyoke_model::{Class, CustomerId, Interest, Millis, ServerId};
use xxhash_rust::xxh3::xxh3_64;

/// Sidecars told for each waiting request of a customer.
pub const FANOUT_PER_REQUEST: usize = 4;

/// Time after which twice as many sidecars are told, in milliseconds.
pub const FANOUT_DOUBLING_MS: Millis = 1_000;

/// Factor by which a count has to change to be told again.
const CHANGE: u32 = 4;

/// Most doublings of the number of sidecars told.
const DOUBLINGS: Millis = 16;

/// How many of `open` sidecars are told of a customer's waiting requests while
/// `customers` have some.
#[must_use]
pub fn fanout(interest: &Interest, open: usize, customers: usize, now: Millis) -> usize {
    let cover = (FANOUT_PER_REQUEST * open).div_ceil(customers.max(1));
    let steps = now.saturating_sub(interest.since) / FANOUT_DOUBLING_MS;
    let each = FANOUT_PER_REQUEST << steps.min(DOUBLINGS);
    let each = each.saturating_mul(interest.total() as usize);
    each.max(cover)
}

/// Whether a sidecar is among those told of a customer's waiting requests.
/// `salt` changes whenever the customer begins to wait; `open` are the servers
/// that may get new work; `customers` have waiting requests.
#[must_use]
pub fn is_target(
    interest: &Interest,
    salt: u64,
    server: ServerId,
    open: &[ServerId],
    customers: usize,
    now: Millis,
) -> bool {
    let reach = fanout(interest, open.len(), customers, now);
    if open.len() <= reach {
        return true;
    }
    let own = weight(interest.customer, salt, server);
    let before = open
        .iter()
        .filter(|&&other| weight(interest.customer, salt, other) > own);
    before.take(reach).count() < reach
}

fn weight(customer: CustomerId, salt: u64, server: ServerId) -> u64 {
    let mut bytes = [0; 16];
    bytes[..4].copy_from_slice(&customer.0.to_le_bytes());
    bytes[4..8].copy_from_slice(&server.0.to_le_bytes());
    bytes[8..].copy_from_slice(&salt.to_le_bytes());
    xxh3_64(&bytes)
}

/// What one sidecar believes to wait: what it was told last, less the slots that
/// it has reserved since.
#[derive(Clone, Debug, Default)]
pub struct DeclaredDemand {
    waiting: HashMap<CustomerId, [u16; 3]>,
}

impl DeclaredDemand {
    /// Keeps of `interest` what has to be told, and takes it as told.
    pub fn update(&mut self, mut interest: Vec<Interest>) -> Vec<Interest> {
        interest.retain(|now| self.is_news(now));
        for interest in &interest {
            if interest.total() == 0 {
                self.waiting.remove(&interest.customer);
            } else {
                self.waiting.insert(interest.customer, interest.waiting);
            }
        }
        interest
    }

    /// The sidecar reserved a slot for a customer, and counts one request of the
    /// best class less.
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

    fn is_news(&self, interest: &Interest) -> bool {
        let told = self.waiting.get(&interest.customer);
        let told = told.copied().unwrap_or_default();
        let urgent = Class::Urgent.index();
        differs(told[urgent].into(), interest.waiting[urgent].into())
            || differs(told.into_iter().map(u32::from).sum(), interest.total())
    }

    /// Whether the sidecar was told of a customer.
    #[must_use]
    pub fn contains(&self, customer: CustomerId) -> bool {
        self.waiting.contains_key(&customer)
    }

    /// Whether the sidecar knows of nothing that waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes everything as untold, as before a full declaration.
    pub fn clear(&mut self) {
        self.waiting.clear();
    }

    /// Customers of whom the sidecar was told.
    pub fn customers(&self) -> impl Iterator<Item = CustomerId> {
        self.waiting.keys().copied()
    }
}

fn differs(told: u32, now: u32) -> bool {
    let (less, more) = (told.min(now), told.max(now));
    more > 0 && more >= CHANGE * less
}
