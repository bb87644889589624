//! What waits for one customer at one link.

use mulberryyoke_model::{Interest, Millis};

use crate::admission::LinkKey;

/// Requests of one customer that wait at one link's router, less those that a
/// slot was reserved for since it declared them.
#[derive(Clone, Debug)]
pub struct Demand {
    /// The link.
    pub link: LinkKey,
    waiting: [u16; 3],
    /// When the oldest of the best class began to wait.
    pub(crate) since: Millis,
    /// Mean estimated cost of one, in tokens.
    pub(crate) cost: u32,
    /// Whether the link shows no sign of life.
    pub(crate) suspended: bool,
}

impl Demand {
    pub(crate) fn new(link: LinkKey) -> Self {
        Self {
            link,
            waiting: [0; 3],
            since: 0,
            cost: 0,
            suspended: false,
        }
    }

    pub(crate) fn update(&mut self, interest: &Interest) {
        self.waiting = interest.waiting;
        self.since = interest.since;
        self.cost = interest.cost;
    }

    pub(crate) fn clear(&mut self) {
        self.waiting = [0; 3];
    }

    /// Counts one request of the best class less; a slot is reserved for it.
    pub(crate) fn reserve_one(&mut self) {
        let class = self.best_class();
        if let Some(waiting) = self.waiting.get_mut(class) {
            *waiting -= 1;
        }
    }

    /// Counts a request again whose router never learnt of its slot.
    pub(crate) fn release_one(&mut self, class: usize) {
        if let Some(waiting) = self.waiting.get_mut(class) {
            *waiting = waiting.saturating_add(1);
        }
    }

    /// Requests that wait for a slot.
    #[must_use]
    pub fn runnable(&self) -> u32 {
        if self.suspended {
            return 0;
        }
        self.waiting.iter().copied().map(u32::from).sum()
    }

    /// Rank of the best class that has a waiting request.
    #[must_use]
    pub fn best_class(&self) -> usize {
        let best = self.waiting.iter().position(|waiting| *waiting > 0);
        best.unwrap_or(self.waiting.len())
    }

    pub(crate) fn is_urgent(&self) -> bool {
        !self.suspended && self.waiting[0] > 0
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting == [0; 3]
    }
}
