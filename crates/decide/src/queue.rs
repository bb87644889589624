//! Queue of the requests that wait at a router.
//!
//! The requests of one customer are ordered by class, deadline and arrival. A
//! deferrable request is promoted to urgent [`PROMOTION_LEAD_MS`] before its
//! deadline. The order among customers is up to the sidecars.

mod change_log;
mod entry;
mod subqueue;

use std::collections::{BTreeSet, HashMap};

use mulberryyoke_model::{Class, CustomerId, Interest, Millis, ServerId};
use slotmap::{SlotMap, new_key_type};
use smallvec::SmallVec;

pub use change_log::ChangeLog;
pub use entry::Entry;
use subqueue::Subqueue;

/// How long before its deadline a deferrable request becomes urgent, in milliseconds.
pub const PROMOTION_LEAD_MS: Millis = 30_000;

/// Maximum difference of the deadlines of two requests that are reordered for a
/// prefix cache hit, in milliseconds.
pub const REORDER_WINDOW_MS: Millis = 250;

/// Number of requests of a subqueue that are considered for a prefix cache hit.
const REORDER_CANDIDATES: usize = 8;

new_key_type! {
    /// Key of a waiting request.
    pub struct EntryKey;
}

/// The only server that may run a request, or `None` for any server in the pool.
type PinnedServer = Option<ServerId>;

/// Requests of one pool that wait at one router, each with a payload `T`.
#[derive(Debug)]
pub struct Queue<T> {
    entries: SlotMap<EntryKey, Entry<T>>,
    subqueues: HashMap<(CustomerId, PinnedServer), Subqueue>,
    /// Deferrable requests by the time of their promotion.
    promotions: BTreeSet<(Millis, EntryKey)>,
    arrivals: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            entries: SlotMap::with_key(),
            subqueues: HashMap::new(),
            promotions: BTreeSet::new(),
            arrivals: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds a request.
    pub fn push(&mut self, mut entry: Entry<T>) -> EntryKey {
        entry.arrival = self.arrivals;
        entry.effective_class = entry.class;
        self.arrivals += 1;
        let deadline = entry.deadline;
        let deferrable = entry.class == Class::Deferrable;
        let key = self.entries.insert(entry);
        if deferrable {
            self.promotions
                .insert((deadline.saturating_sub(PROMOTION_LEAD_MS), key));
        }
        let entry = &self.entries[key];
        let subqueue = self.subqueues.entry((entry.customer, entry.pinned_server));
        subqueue
            .or_insert_with(|| Subqueue::new(entry.arrival))
            .insert(key, entry);
        key
    }

    /// Removes a request from any position.
    ///
    /// # Panics
    ///
    /// If the request is missing from its subqueue, which is a bug.
    pub fn remove(&mut self, key: EntryKey) -> Option<Entry<T>> {
        let entry = self.entries.remove(key)?;
        self.promotions
            .remove(&(entry.deadline.saturating_sub(PROMOTION_LEAD_MS), key));
        let id = (entry.customer, entry.pinned_server);
        let subqueue = self.subqueues.get_mut(&id);
        let subqueue = subqueue.expect("every waiting request is in a subqueue");
        subqueue.remove(key, &entry);
        if subqueue.is_empty() {
            self.subqueues.remove(&id);
        }
        Some(entry)
    }

    /// Removes the customer's next request that `server` may run. Requests for
    /// which `is_cached` holds, that is, whose prompt prefix the server is likely
    /// to have cached, come first among the first few of the same effective class
    /// whose deadlines are within [`REORDER_WINDOW_MS`].
    pub fn pop(
        &mut self,
        customer: CustomerId,
        server: ServerId,
        is_cached: impl Fn(&T) -> bool,
    ) -> Option<Entry<T>> {
        let key = self.front(customer, server, is_cached)?;
        self.remove(key)
    }

    fn front(
        &self,
        customer: CustomerId,
        server: ServerId,
        is_cached: impl Fn(&T) -> bool,
    ) -> Option<EntryKey> {
        let subqueues = [None, Some(server)]
            .into_iter()
            .filter_map(|pinned| self.subqueues.get(&(customer, pinned)));
        let heads: SmallVec<[EntryKey; 2 * REORDER_CANDIDATES]> =
            subqueues.filter_map(Subqueue::heads).flatten().collect();
        let order = |key: &EntryKey| {
            let entry = &self.entries[*key];
            (entry.effective_class, entry.deadline, entry.arrival)
        };
        let first = heads.iter().copied().min_by_key(order)?;
        let (class, deadline, _) = order(&first);
        let last = deadline.saturating_add(REORDER_WINDOW_MS);
        let cached = heads.iter().filter(|&key| {
            let entry = &self.entries[*key];
            entry.effective_class == class && entry.deadline <= last && is_cached(&entry.payload)
        });
        cached.copied().min_by_key(order).or(Some(first))
    }

    /// Promotes deferrable requests with a near deadline to urgent and returns their
    /// customers.
    pub fn promote(&mut self, now: Millis) -> Vec<CustomerId> {
        let mut promoted = Vec::new();
        while let Some(&(at, key)) = self.promotions.first() {
            if at > now {
                break;
            }
            self.promotions.pop_first();
            let entry = &mut self.entries[key];
            let id = (entry.customer, entry.pinned_server);
            let Some(subqueue) = self.subqueues.get_mut(&id) else {
                continue;
            };
            subqueue.remove(key, entry);
            entry.effective_class = Class::Urgent;
            subqueue.insert(key, entry);
            promoted.push(entry.customer);
        }
        promoted
    }

    /// Returns the last request of a customer, for eviction.
    #[must_use]
    pub fn back(&self, customer: CustomerId) -> Option<EntryKey> {
        let subqueues = self.subqueues.iter();
        let own = subqueues.filter(|((owner, _), _)| *owner == customer);
        let tails = own.filter_map(|(_, subqueue)| subqueue.last());
        tails.max_by_key(|&key| {
            let entry = &self.entries[key];
            (entry.effective_class, entry.deadline, entry.arrival)
        })
    }

    /// Summarizes the customer's requests that `server` may run. All counts are 0 if
    /// there are none.
    #[must_use]
    pub fn interest(&self, customer: CustomerId, server: ServerId) -> Interest {
        let mut interest = Interest {
            customer,
            waiting: [0; 3],
            cost: 0,
            since: Millis::MAX,
        };
        let mut cost = 0;
        let mut oldest = [Millis::MAX; 3];
        for pinned in [None, Some(server)] {
            let Some(subqueue) = self.subqueues.get(&(customer, pinned)) else {
                continue;
            };
            cost += subqueue.cost();
            for class in Class::ALL {
                let count = u16::try_from(subqueue.count(class)).unwrap_or(u16::MAX);
                let total = &mut interest.waiting[class.index()];
                *total = total.saturating_add(count);
                if let Some(key) = subqueue.oldest(class) {
                    let since = self.entries[key].arrived_at;
                    oldest[class.index()] = oldest[class.index()].min(since);
                }
            }
        }
        let best = oldest.into_iter().find(|since| *since != Millis::MAX);
        interest.since = best.unwrap_or(0);
        let mean = cost / u64::from(interest.total().max(1));
        interest.cost = u32::try_from(mean).unwrap_or(u32::MAX);
        interest
    }

    /// Number of requests ahead of the given one in its subqueue.
    #[must_use]
    pub fn position(&self, entry: &Entry<T>) -> usize {
        let subqueue = self.subqueues.get(&(entry.customer, entry.pinned_server));
        subqueue.map_or(0, |subqueue| subqueue.position(entry))
    }

    /// A number that changes whenever the customer starts to have unpinned requests.
    #[must_use]
    pub fn salt(&self, customer: CustomerId) -> u64 {
        let subqueue = self.subqueues.get(&(customer, None));
        subqueue.map_or(0, Subqueue::first_arrival)
    }

    /// Whether the customer has requests pinned to `server`.
    #[must_use]
    pub fn has_pinned(&self, customer: CustomerId, server: ServerId) -> bool {
        self.subqueues.contains_key(&(customer, Some(server)))
    }

    /// Number of subqueues: one per customer and server that its requests are pinned
    /// to, plus one per customer with unpinned requests.
    #[must_use]
    pub fn subqueues(&self) -> usize {
        self.subqueues.len()
    }

    /// Customers with waiting requests. May contain duplicates.
    pub fn customers(&self) -> impl Iterator<Item = CustomerId> {
        self.subqueues.keys().map(|&(customer, _)| customer)
    }

    /// Iterates over all waiting requests in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (EntryKey, &Entry<T>)> {
        self.entries.iter()
    }
}
