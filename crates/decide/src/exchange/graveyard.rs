//! Lives that have been forgotten.

use std::collections::{HashSet, VecDeque};

use mulberryyoke_model::Incarnation;

/// Lives kept; a life takes 16 bytes.
const KEPT: usize = 4_096;

/// Lives that have been forgotten and whose service the totals include. One that
/// comes up again is counted from then on only.
#[derive(Debug, Default)]
pub(super) struct Graveyard {
    order: VecDeque<Incarnation>,
    lives: HashSet<Incarnation>,
}

impl Graveyard {
    pub(super) fn add(&mut self, life: Incarnation) {
        if !self.lives.insert(life) {
            return;
        }
        self.order.push_back(life);
        if self.order.len() > KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.lives.remove(&oldest);
        }
    }

    pub(super) fn contains(&self, life: Incarnation) -> bool {
        self.lives.contains(&life)
    }
}
