//! The waiting requests of one pool.

use std::collections::HashSet;
use std::sync::Arc;

use mulberryyoke_decide::declare::FANOUT_DOUBLING_MS;
use mulberryyoke_decide::queue::{ChangeLog, Entry, EntryKey, Queue};
use mulberryyoke_model::{CustomerId, Interest, Millis, PoolId, ServerId};
use parking_lot::Mutex;
use tokio::sync::watch;

use super::look::Look;
use super::waiter::Waiter;

#[derive(Debug, Default)]
struct State {
    queue: Queue<Waiter>,
    changes: ChangeLog,
}

/// The waiting requests of one pool, with a log of changes for the links.
#[derive(Debug)]
pub(crate) struct Room {
    pub(crate) pool: PoolId,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

impl Room {
    pub(crate) fn new(pool: PoolId) -> Arc<Self> {
        Arc::new(Self {
            pool,
            state: Mutex::default(),
            changed: watch::Sender::new(0),
        })
    }

    /// Tells when something has changed.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.state.lock().queue.is_empty()
    }

    pub(crate) fn push(&self, waiting: Entry<Waiter>) -> EntryKey {
        let customer = waiting.customer;
        let mut state = self.state.lock();
        let key = state.queue.push(waiting);
        let number = state.changes.record(customer);
        drop(state);
        self.changed.send_replace(number);
        key
    }

    pub(crate) fn remove(&self, key: EntryKey) -> Option<Entry<Waiter>> {
        let mut state = self.state.lock();
        let waiting = state.queue.remove(key)?;
        let number = state.changes.record(waiting.customer);
        drop(state);
        self.changed.send_replace(number);
        Some(waiting)
    }

    /// Takes the customer's next request for a server out of all that are open.
    pub(crate) fn take(
        &self,
        customer: CustomerId,
        server: ServerId,
        open: &[ServerId],
    ) -> Option<Entry<Waiter>> {
        let warm = |waiter: &Waiter| {
            let prefix = waiter.prefix;
            let warmest = prefix.and_then(|prefix| prefix.preferred_server(open.iter().copied()));
            warmest == Some(server)
        };
        let mut state = self.state.lock();
        let waiting = state.queue.pop(customer, server, warm)?;
        let number = state.changes.record(customer);
        drop(state);
        self.changed.send_replace(number);
        Some(waiting)
    }

    /// Takes out the customer's request that would go last.
    pub(crate) fn displace(&self, customer: CustomerId) -> Option<Entry<Waiter>> {
        let key = self.state.lock().queue.back(customer)?;
        self.remove(key)
    }

    /// Raises deferrable requests whose deadline is near.
    pub(crate) fn raise(&self, now: Millis) {
        let mut state = self.state.lock();
        let raised = state.queue.promote(now);
        let numbers = raised
            .into_iter()
            .map(|customer| state.changes.record(customer));
        let Some(number) = numbers.last() else {
            return;
        };
        drop(state);
        self.changed.send_replace(number);
    }

    /// What a sidecar is to be told: of customers changed since `seen`, which
    /// becomes the latest change, or of every customer.
    pub(crate) fn interest(&self, seen: &mut u64, look: &Look<'_>) -> Vec<Interest> {
        let state = self.state.lock();
        let since = std::mem::replace(seen, state.changes.latest());
        let mut customers: Vec<CustomerId> = if look.all {
            let waiting = state.queue.customers();
            waiting.chain(look.told.customers()).collect()
        } else {
            state.changes.since(since).collect()
        };
        customers.sort_unstable();
        customers.dedup();
        let interest = customers.into_iter();
        interest
            .map(|customer| look.interest(&state.queue, customer))
            .collect()
    }

    /// Marks customers whose requests have waited for so long since `before`
    /// that more sidecars are to be told.
    pub(crate) fn spread(&self, before: Millis, now: Millis) {
        let mut state = self.state.lock();
        let steps = |since: Millis, at: Millis| at.saturating_sub(since) / FANOUT_DOUBLING_MS;
        let waiting = state.queue.iter().map(|(_, waiting)| waiting);
        let longer =
            waiting.filter(|held| steps(held.arrived_at, before) < steps(held.arrived_at, now));
        let customers: HashSet<CustomerId> = longer.map(|waiting| waiting.customer).collect();
        let marked = customers
            .into_iter()
            .map(|customer| state.changes.record(customer));
        let Some(number) = marked.last() else {
            return;
        };
        drop(state);
        self.changed.send_replace(number);
    }

    /// Reads the queue for introspection.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&Queue<Waiter>) -> T) -> T {
        read(&self.state.lock().queue)
    }
}
