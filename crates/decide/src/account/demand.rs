//! Demand of one customer at one link.

use mulberryyoke_model::{Interest, Millis};

use crate::admission::LinkKey;

/// Requests of one customer queued at one link's router, excluding those for which a
/// slot was reserved since the router declared them.
#[derive(Clone, Debug)]
pub struct Demand {
    /// The link whose router queues the requests.
    pub link: LinkKey,
    /// Number of waiting requests by class.
    waiting: [u16; 3],
    /// When the oldest request of the best class began to wait.
    pub(crate) since: Millis,
    /// Mean estimated cost of a request, in tokens.
    pub(crate) cost: u32,
    /// Whether the link is unresponsive.
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

    /// Removes a request of the best class, for which a slot is reserved.
    pub(crate) fn reserve_one(&mut self) {
        let class = self.best_class();
        if let Some(waiting) = self.waiting.get_mut(class) {
            *waiting -= 1;
        }
    }

    /// Restores a request whose reserved slot was released before its grant was sent.
    pub(crate) fn release_one(&mut self, class: usize) {
        if let Some(waiting) = self.waiting.get_mut(class) {
            *waiting = waiting.saturating_add(1);
        }
    }

    /// Number of requests waiting for a slot; 0 while suspended.
    #[must_use]
    pub fn runnable(&self) -> u32 {
        if self.suspended {
            return 0;
        }
        self.waiting.iter().copied().map(u32::from).sum()
    }

    /// Index of the best class that has a waiting request.
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
