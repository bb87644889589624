//! The waiting requests of one customer that may run at the same servers.

use std::collections::BTreeSet;

use mulberryyoke_model::{Class, Millis};

use super::{Entry, EntryKey, WEIGHED};

#[derive(Debug, Default)]
struct Rank {
    by_deadline: BTreeSet<(Millis, u64, EntryKey)>,
    by_arrival: BTreeSet<(u64, EntryKey)>,
}

/// Keys ordered by rank, deadline and arrival.
#[derive(Debug, Default)]
pub(super) struct Line {
    ranks: [Rank; 3],
    cost: u64,
    /// Arrival number of the first request that it ever held.
    began: u64,
}

impl Line {
    pub(super) fn new(began: u64) -> Self {
        Self {
            began,
            ..Self::default()
        }
    }

    pub(super) const fn began(&self) -> u64 {
        self.began
    }

    pub(super) fn insert<T>(&mut self, key: EntryKey, waiting: &Entry<T>) {
        let rank = &mut self.ranks[waiting.effective_class.index()];
        rank.by_deadline
            .insert((waiting.deadline, waiting.arrival, key));
        rank.by_arrival.insert((waiting.arrival, key));
        self.cost += u64::from(waiting.cost);
    }

    pub(super) fn remove<T>(&mut self, key: EntryKey, waiting: &Entry<T>) {
        let rank = &mut self.ranks[waiting.effective_class.index()];
        let place = (waiting.deadline, waiting.arrival, key);
        let stood = rank.by_deadline.remove(&place) && rank.by_arrival.remove(&(place.1, key));
        assert!(stood, "a waiting request stands in its line once");
        self.cost -= u64::from(waiting.cost);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.ranks.iter().all(|rank| rank.by_arrival.is_empty())
    }

    pub(super) fn count(&self, rank: Class) -> usize {
        self.ranks[rank.index()].by_arrival.len()
    }

    pub(super) const fn cost(&self) -> u64 {
        self.cost
    }

    pub(super) fn oldest(&self, rank: Class) -> Option<EntryKey> {
        let first = self.ranks[rank.index()].by_arrival.first();
        first.map(|&(_, key)| key)
    }

    /// The first few of the best rank.
    pub(super) fn heads(&self) -> Option<impl Iterator<Item = EntryKey>> {
        let mut ranks = self.ranks.iter();
        let best = ranks.find(|rank| !rank.by_deadline.is_empty())?;
        let first = best.by_deadline.iter().take(WEIGHED);
        Some(first.map(|&(_, _, key)| key))
    }

    /// How many go before one.
    pub(super) fn position<T>(&self, waiting: &Entry<T>) -> usize {
        let better = &self.ranks[..waiting.effective_class.index()];
        let better: usize = better.iter().map(|rank| rank.by_arrival.len()).sum();
        let place = (waiting.deadline, waiting.arrival);
        let own = self.ranks[waiting.effective_class.index()]
            .by_deadline
            .iter();
        let before = own.take_while(|(deadline, arrival, _)| (*deadline, *arrival) < place);
        better + before.count()
    }

    pub(super) fn tail(&self) -> Option<EntryKey> {
        let worst = self
            .ranks
            .iter()
            .rev()
            .find(|rank| !rank.by_deadline.is_empty())?;
        worst.by_deadline.last().map(|&(_, _, key)| key)
    }
}
