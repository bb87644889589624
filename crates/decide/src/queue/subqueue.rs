//! Waiting requests of one customer that may run at the same servers.

use std::collections::BTreeSet;

use mulberryyoke_model::{Class, Millis};

use super::{Entry, EntryKey, REORDER_CANDIDATES};

#[derive(Debug, Default)]
struct ClassQueue {
    by_deadline: BTreeSet<(Millis, u64, EntryKey)>,
    by_arrival: BTreeSet<(u64, EntryKey)>,
}

/// Request keys ordered by effective class, deadline and arrival.
#[derive(Debug, Default)]
pub(super) struct Subqueue {
    classes: [ClassQueue; 3],
    /// Total estimated cost, in tokens.
    cost: u64,
    /// Arrival number of the request that the subqueue was created for.
    first_arrival: u64,
}

impl Subqueue {
    pub(super) fn new(first_arrival: u64) -> Self {
        Self {
            first_arrival,
            ..Self::default()
        }
    }

    pub(super) const fn first_arrival(&self) -> u64 {
        self.first_arrival
    }

    pub(super) fn insert<T>(&mut self, key: EntryKey, entry: &Entry<T>) {
        let class = &mut self.classes[entry.effective_class.index()];
        class
            .by_deadline
            .insert((entry.deadline, entry.arrival, key));
        class.by_arrival.insert((entry.arrival, key));
        self.cost += u64::from(entry.cost);
    }

    pub(super) fn remove<T>(&mut self, key: EntryKey, entry: &Entry<T>) {
        let class = &mut self.classes[entry.effective_class.index()];
        let id = (entry.deadline, entry.arrival, key);
        let removed = class.by_deadline.remove(&id) && class.by_arrival.remove(&(id.1, key));
        assert!(removed, "a waiting request is in its subqueue exactly once");
        self.cost -= u64::from(entry.cost);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.classes.iter().all(|class| class.by_arrival.is_empty())
    }

    pub(super) fn count(&self, class: Class) -> usize {
        self.classes[class.index()].by_arrival.len()
    }

    pub(super) const fn cost(&self) -> u64 {
        self.cost
    }

    pub(super) fn oldest(&self, class: Class) -> Option<EntryKey> {
        let first = self.classes[class.index()].by_arrival.first();
        first.map(|&(_, key)| key)
    }

    /// Returns the first few requests of the best class.
    pub(super) fn heads(&self) -> Option<impl Iterator<Item = EntryKey>> {
        let mut classes = self.classes.iter();
        let best = classes.find(|class| !class.by_deadline.is_empty())?;
        let first = best.by_deadline.iter().take(REORDER_CANDIDATES);
        Some(first.map(|&(_, _, key)| key))
    }

    /// Number of requests ahead of the given one.
    pub(super) fn position<T>(&self, entry: &Entry<T>) -> usize {
        let better = &self.classes[..entry.effective_class.index()];
        let better: usize = better.iter().map(|class| class.by_arrival.len()).sum();
        let order = (entry.deadline, entry.arrival);
        let own = self.classes[entry.effective_class.index()]
            .by_deadline
            .iter();
        let before = own.take_while(|(deadline, arrival, _)| (*deadline, *arrival) < order);
        better + before.count()
    }

    pub(super) fn last(&self) -> Option<EntryKey> {
        let worst = self
            .classes
            .iter()
            .rev()
            .find(|class| !class.by_deadline.is_empty())?;
        worst.by_deadline.last().map(|&(_, _, key)| key)
    }
}
