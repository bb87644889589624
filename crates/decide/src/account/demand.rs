//! What waits for one customer at one link.

use mulberryyoke_model::{Interest, Millis};

use crate::admission::LinkKey;

/// Requests of one customer that wait at one link's router.
#[derive(Clone, Debug)]
pub struct Demand {
    /// The link.
    pub link: LinkKey,
    pub(crate) waiting: [u32; 3],
    pub(crate) since: Millis,
    /// Mean estimated cost of one, in tokens.
    pub(crate) cost: u32,
    /// Slots reserved for some of them.
    pub(crate) reserved: u32,
    /// Whether the link shows no sign of life.
    pub(crate) suspended: bool,
}

impl Demand {
    pub(crate) fn open(link: LinkKey) -> Self {
        Self {
            link,
            waiting: [0; 3],
            since: 0,
            cost: 0,
            reserved: 0,
            suspended: false,
        }
    }

    pub(crate) fn declare(&mut self, interest: &Interest) {
        self.waiting = interest.waiting.map(u32::from);
        self.since = interest.since;
        self.cost = interest.cost;
    }

    /// Waiting requests without a reserved slot.
    #[must_use]
    pub fn runnable(&self) -> u32 {
        if self.suspended {
            return 0;
        }
        let waiting: u32 = self.waiting.iter().sum();
        waiting.saturating_sub(self.reserved)
    }

    /// Rank of the best class that has a runnable request; the router uses
    /// reserved slots for the best classes first.
    #[must_use]
    pub fn class(&self) -> usize {
        let mut reserved = self.reserved;
        for (class, waiting) in self.waiting.into_iter().enumerate() {
            if waiting > reserved {
                return class;
            }
            reserved -= waiting;
        }
        self.waiting.len()
    }

    pub(crate) fn is_urgent(&self) -> bool {
        self.runnable() > 0 && self.class() == 0
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting == [0; 3] && self.reserved == 0
    }
}
