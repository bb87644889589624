//! Requests that wait at a router, by customer.
//!
//! Within a customer the order is class, then deadline, then arrival. A
//! deferrable request ranks as urgent once its deadline is [`PROMOTION_LEAD_MS`] away.
//! Which customer goes first is not decided here but by the sidecars.

mod change_log;
mod entry;
mod line;

use std::collections::{BTreeSet, HashMap};

use mulberryyoke_model::{Class, CustomerId, Interest, Millis, ServerId};
use slotmap::{SlotMap, new_key_type};
use smallvec::SmallVec;

pub use change_log::ChangeLog;
pub use entry::Entry;
use line::Line;

/// How long before its deadline a deferrable request ranks as urgent, in milliseconds.
pub const PROMOTION_LEAD_MS: Millis = 30_000;

/// How far apart the deadlines of requests may be that change places for a warm
/// prefix, in milliseconds.
pub const REORDER_WINDOW_MS: Millis = 250;

/// How many requests of a line are weighed for a warm prefix.
const WEIGHED: usize = 8;

new_key_type! {
    /// Key of a waiting request.
    pub struct EntryKey;
}

/// Where a request may run: at one server only, or at any of the pool.
type Bound = Option<ServerId>;

/// Requests of one pool that wait at one router; `T` is what the owner keeps
/// with each.
#[derive(Debug)]
pub struct Queue<T> {
    arena: SlotMap<EntryKey, Entry<T>>,
    lines: HashMap<(CustomerId, Bound), Line>,
    rises: BTreeSet<(Millis, EntryKey)>,
    arrivals: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            arena: SlotMap::with_key(),
            lines: HashMap::new(),
            rises: BTreeSet::new(),
            arrivals: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }

    /// Adds a request.
    pub fn push(&mut self, mut waiting: Entry<T>) -> EntryKey {
        waiting.arrival = self.arrivals;
        waiting.effective_class = waiting.class;
        self.arrivals += 1;
        let deadline = waiting.deadline;
        let deferrable = waiting.class == Class::Deferrable;
        let key = self.arena.insert(waiting);
        if deferrable {
            self.rises
                .insert((deadline.saturating_sub(PROMOTION_LEAD_MS), key));
        }
        let waiting = &self.arena[key];
        let line = self.lines.entry((waiting.customer, waiting.pinned_server));
        line.or_insert_with(|| Line::new(waiting.arrival))
            .insert(key, waiting);
        key
    }

    /// Takes a request out, wherever it stands.
    ///
    /// # Panics
    ///
    /// When it stands in no line: each request stands in one.
    pub fn remove(&mut self, key: EntryKey) -> Option<Entry<T>> {
        let waiting = self.arena.remove(key)?;
        self.rises
            .remove(&(waiting.deadline.saturating_sub(PROMOTION_LEAD_MS), key));
        let place = (waiting.customer, waiting.pinned_server);
        let line = self.lines.get_mut(&place);
        let line = line.expect("a waiting request stands in a line");
        line.remove(key, &waiting);
        if line.is_empty() {
            self.lines.remove(&place);
        }
        Some(waiting)
    }

    /// Takes the customer's next request that `server` may run. `warm` tells
    /// whether the server is the preferred one of a request; it decides only
    /// among the first few of equal rank whose deadlines are [`REORDER_WINDOW_MS`] apart.
    pub fn pop(
        &mut self,
        customer: CustomerId,
        server: ServerId,
        warm: impl Fn(&T) -> bool,
    ) -> Option<Entry<T>> {
        let key = self.head(customer, server, warm)?;
        self.remove(key)
    }

    fn head(
        &self,
        customer: CustomerId,
        server: ServerId,
        warm: impl Fn(&T) -> bool,
    ) -> Option<EntryKey> {
        let lines = [None, Some(server)]
            .into_iter()
            .filter_map(|bound| self.lines.get(&(customer, bound)));
        let heads: SmallVec<[EntryKey; 2 * WEIGHED]> =
            lines.filter_map(Line::heads).flatten().collect();
        let place = |key: &EntryKey| {
            let waiting = &self.arena[*key];
            (waiting.effective_class, waiting.deadline, waiting.arrival)
        };
        let first = heads.iter().copied().min_by_key(place)?;
        let (rank, deadline, _) = place(&first);
        let last = deadline.saturating_add(REORDER_WINDOW_MS);
        let near = heads.iter().filter(|&key| {
            let waiting = &self.arena[*key];
            waiting.effective_class == rank && waiting.deadline <= last && warm(&waiting.payload)
        });
        near.copied().min_by_key(place).or(Some(first))
    }

    /// Raises deferrable requests whose deadline is near; returns their customers.
    pub fn promote(&mut self, now: Millis) -> Vec<CustomerId> {
        let mut raised = Vec::new();
        while let Some(&(at, key)) = self.rises.first() {
            if at > now {
                break;
            }
            self.rises.pop_first();
            let waiting = &mut self.arena[key];
            let place = (waiting.customer, waiting.pinned_server);
            let Some(line) = self.lines.get_mut(&place) else {
                continue;
            };
            line.remove(key, waiting);
            waiting.effective_class = Class::Urgent;
            line.insert(key, waiting);
            raised.push(waiting.customer);
        }
        raised
    }

    /// The customer's request that would go last, for eviction.
    #[must_use]
    pub fn back(&self, customer: CustomerId) -> Option<EntryKey> {
        let lines = self.lines.iter();
        let own = lines.filter(|((owner, _), _)| *owner == customer);
        let tails = own.filter_map(|(_, line)| line.tail());
        tails.max_by_key(|&key| {
            let waiting = &self.arena[key];
            (waiting.effective_class, waiting.deadline, waiting.arrival)
        })
    }

    /// What the customer has waiting that `server` may run; counts 0 for nothing.
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
        for bound in [None, Some(server)] {
            let Some(line) = self.lines.get(&(customer, bound)) else {
                continue;
            };
            cost += line.cost();
            for rank in Class::ALL {
                let count = u16::try_from(line.count(rank)).unwrap_or(u16::MAX);
                let total = &mut interest.waiting[rank.index()];
                *total = total.saturating_add(count);
                if let Some(key) = line.oldest(rank) {
                    let since = self.arena[key].arrived_at;
                    oldest[rank.index()] = oldest[rank.index()].min(since);
                }
            }
        }
        let best = oldest.into_iter().find(|since| *since != Millis::MAX);
        interest.since = best.unwrap_or(0);
        let mean = cost / u64::from(interest.total().max(1));
        interest.cost = u32::try_from(mean).unwrap_or(u32::MAX);
        interest
    }

    /// Requests of the same customer and standing that go before one.
    #[must_use]
    pub fn position(&self, waiting: &Entry<T>) -> usize {
        let line = self.lines.get(&(waiting.customer, waiting.pinned_server));
        line.map_or(0, |line| line.position(waiting))
    }

    /// A number that changes whenever the customer begins to wait.
    #[must_use]
    pub fn salt(&self, customer: CustomerId) -> u64 {
        let line = self.lines.get(&(customer, None));
        line.map_or(0, Line::began)
    }

    /// Whether the customer has requests that only `server` may run.
    #[must_use]
    pub fn has_pinned(&self, customer: CustomerId, server: ServerId) -> bool {
        self.lines.contains_key(&(customer, Some(server)))
    }

    /// How many customers have something waiting; one with bound requests counts
    /// more than once.
    #[must_use]
    pub fn subqueues(&self) -> usize {
        self.lines.len()
    }

    /// Customers with something waiting; one may stand in it more than once.
    pub fn customers(&self) -> impl Iterator<Item = CustomerId> {
        self.lines.keys().map(|&(customer, _)| customer)
    }

    /// Every waiting request.
    pub fn iter(&self) -> impl Iterator<Item = (EntryKey, &Entry<T>)> {
        self.arena.iter()
    }
}
