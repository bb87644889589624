//! Expired instances.

use std::collections::{HashSet, VecDeque};

use mulberryyoke_model::Incarnation;

/// Maximum number of tombstones; each takes 16 bytes.
const MAX_TOMBSTONES: usize = 4_096;

/// Expired instances whose tokens the totals include. One that reappears is counted
/// from the first value received after that.
#[derive(Debug, Default)]
pub(super) struct Tombstones {
    order: VecDeque<Incarnation>,
    instances: HashSet<Incarnation>,
}

impl Tombstones {
    pub(super) fn add(&mut self, instance: Incarnation) {
        if !self.instances.insert(instance) {
            return;
        }
        self.order.push_back(instance);
        if self.order.len() > MAX_TOMBSTONES
            && let Some(oldest) = self.order.pop_front()
        {
            self.instances.remove(&oldest);
        }
    }

    pub(super) fn contains(&self, instance: Incarnation) -> bool {
        self.instances.contains(&instance)
    }
}
