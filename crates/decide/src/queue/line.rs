//! The waiting requests of one customer that may run at the same servers.

use std::collections::BTreeSet;

use mulberryyoke_model::{Class, Millis};

use super::{Key, Waiting};

/// How many requests of equal rank and deadline are weighed for a warm prefix.
const WEIGHED: usize = 8;

#[derive(Debug, Default)]
struct Rank {
    by_deadline: BTreeSet<(Millis, u64, Key)>,
    by_arrival: BTreeSet<(u64, Key)>,
}

/// Keys ordered by rank, deadline and arrival.
#[derive(Debug, Default)]
pub(super) struct Line {
    ranks: [Rank; 3],
    cost: u64,
}

impl Line {
    pub(super) fn insert<T>(&mut self, key: Key, waiting: &Waiting<T>) {
        let rank = &mut self.ranks[waiting.rank.index()];
        rank.by_deadline
            .insert((waiting.deadline, waiting.arrival, key));
        rank.by_arrival.insert((waiting.arrival, key));
        self.cost += u64::from(waiting.cost);
    }

    pub(super) fn remove<T>(&mut self, key: Key, waiting: &Waiting<T>) {
        let rank = &mut self.ranks[waiting.rank.index()];
        rank.by_deadline
            .remove(&(waiting.deadline, waiting.arrival, key));
        rank.by_arrival.remove(&(waiting.arrival, key));
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

    pub(super) fn oldest(&self, rank: Class) -> Option<Key> {
        let first = self.ranks[rank.index()].by_arrival.first();
        first.map(|&(_, key)| key)
    }

    /// The first few of the best rank that have the same deadline.
    pub(super) fn heads(&self) -> Option<impl Iterator<Item = Key>> {
        let best = self
            .ranks
            .iter()
            .find(|rank| !rank.by_deadline.is_empty())?;
        let &(deadline, ..) = best.by_deadline.first()?;
        let equal = best
            .by_deadline
            .iter()
            .take_while(move |(at, ..)| *at == deadline);
        Some(equal.take(WEIGHED).map(|&(_, _, key)| key))
    }

    pub(super) fn tail(&self) -> Option<Key> {
        let worst = self
            .ranks
            .iter()
            .rev()
            .find(|rank| !rank.by_deadline.is_empty())?;
        worst.by_deadline.last().map(|&(_, _, key)| key)
    }
}
