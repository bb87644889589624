//! The request queue of one pool.

use std::collections::HashSet;
use std::sync::Arc;

use mulberryyoke_decide::declare::FANOUT_DOUBLING_MS;
use mulberryyoke_decide::queue::{ChangeLog, Entry, EntryKey, Queue};
use mulberryyoke_model::{CustomerId, Interest, Millis, PoolId, ServerId};
use parking_lot::Mutex;
use tokio::sync::watch;

use super::demand_selector::DemandSelector;
use super::queued_request::QueuedRequest;

#[derive(Debug, Default)]
struct State {
    queue: Queue<QueuedRequest>,
    changes: ChangeLog,
}

/// The request queue of one pool, with a change log for the links.
#[derive(Debug)]
pub(crate) struct PoolQueue {
    pub(crate) pool: PoolId,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

impl PoolQueue {
    pub(crate) fn new(pool: PoolId) -> Arc<Self> {
        Arc::new(Self {
            pool,
            state: Mutex::default(),
            changed: watch::Sender::new(0),
        })
    }

    /// Subscribes to the number of the latest change.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.state.lock().queue.is_empty()
    }

    pub(crate) fn push(&self, entry: Entry<QueuedRequest>) -> EntryKey {
        let customer = entry.customer;
        let mut state = self.state.lock();
        let key = state.queue.push(entry);
        let number = state.changes.record(customer);
        drop(state);
        self.changed.send_replace(number);
        key
    }

    pub(crate) fn remove(&self, key: EntryKey) -> Option<Entry<QueuedRequest>> {
        let mut state = self.state.lock();
        let entry = state.queue.remove(key)?;
        let number = state.changes.record(entry.customer);
        drop(state);
        self.changed.send_replace(number);
        Some(entry)
    }

    /// Removes the customer's next request for `server`, given the pool's eligible servers.
    pub(crate) fn pop(
        &self,
        customer: CustomerId,
        server: ServerId,
        eligible: &[ServerId],
    ) -> Option<Entry<QueuedRequest>> {
        let is_cached = |request: &QueuedRequest| {
            let preferred = request
                .prefix
                .and_then(|prefix| prefix.preferred_server(eligible.iter().copied()));
            preferred == Some(server)
        };
        let mut state = self.state.lock();
        let entry = state.queue.pop(customer, server, is_cached)?;
        let number = state.changes.record(customer);
        drop(state);
        self.changed.send_replace(number);
        Some(entry)
    }

    /// Removes the customer's last request in queue order.
    pub(crate) fn pop_last(&self, customer: CustomerId) -> Option<Entry<QueuedRequest>> {
        let key = self.state.lock().queue.back(customer)?;
        self.remove(key)
    }

    /// Promotes deferrable requests whose deadline is near.
    pub(crate) fn promote(&self, now: Millis) {
        let mut state = self.state.lock();
        let promoted = state.queue.promote(now);
        let numbers = promoted
            .into_iter()
            .map(|customer| state.changes.record(customer));
        let Some(number) = numbers.last() else {
            return;
        };
        drop(state);
        self.changed.send_replace(number);
    }

    /// Returns the demand to declare to a sidecar: of every customer, or of those
    /// changed since `last_seen`. Sets `last_seen` to the latest change.
    pub(crate) fn interest(
        &self,
        last_seen: &mut u64,
        selector: &DemandSelector<'_>,
    ) -> Vec<Interest> {
        let state = self.state.lock();
        let since = std::mem::replace(last_seen, state.changes.latest());
        let mut customers: Vec<CustomerId> = if selector.all_customers {
            let waiting = state.queue.customers();
            waiting.chain(selector.declared.customers()).collect()
        } else {
            state.changes.since(since).collect()
        };
        customers.sort_unstable();
        customers.dedup();
        let interest = customers.into_iter();
        interest
            .map(|customer| selector.interest(&state.queue, customer))
            .collect()
    }

    /// Records a change for customers whose fan-out has doubled since `before`, because
    /// of the time that a request has waited.
    pub(crate) fn record_fanout_growth(&self, before: Millis, now: Millis) {
        let mut state = self.state.lock();
        let doublings = |since: Millis, at: Millis| at.saturating_sub(since) / FANOUT_DOUBLING_MS;
        let entries = state.queue.iter().map(|(_, entry)| entry);
        let due = entries
            .filter(|entry| doublings(entry.arrived_at, before) < doublings(entry.arrived_at, now));
        let customers: HashSet<CustomerId> = due.map(|entry| entry.customer).collect();
        let numbers = customers
            .into_iter()
            .map(|customer| state.changes.record(customer));
        let Some(number) = numbers.last() else {
            return;
        };
        drop(state);
        self.changed.send_replace(number);
    }

    /// Calls `f` with the queue locked.
    pub(crate) fn with_queue<T>(&self, f: impl FnOnce(&Queue<QueuedRequest>) -> T) -> T {
        f(&self.state.lock().queue)
    }
}
