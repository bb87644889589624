//! One waiting request.

use mulberryyoke_model::{Class, CustomerId, Millis, ServerId};

/// A waiting request; `T` is what the queue's owner keeps with it.
#[derive(Clone, Debug)]
pub struct Waiting<T> {
    /// Whose request it is.
    pub customer: CustomerId,
    /// The class it came with.
    pub class: Class,
    /// When its caller stops waiting.
    pub deadline: Millis,
    /// When it came to this router.
    pub since: Millis,
    /// Estimated cost, in tokens.
    pub cost: u32,
    /// The only server that may run it, if there is one.
    pub bound: Option<ServerId>,
    /// What the owner keeps.
    pub owned: T,
    pub(super) rank: Class,
    pub(super) arrival: u64,
}

impl<T> Waiting<T> {
    /// A request that has not been queued yet.
    pub fn new(
        customer: CustomerId,
        class: Class,
        deadline: Millis,
        since: Millis,
        owned: T,
    ) -> Self {
        Self {
            customer,
            class,
            deadline,
            since,
            cost: 0,
            bound: None,
            owned,
            rank: class,
            arrival: 0,
        }
    }

    /// Its class, risen to urgent if its deadline is near.
    #[must_use]
    pub const fn rank(&self) -> Class {
        self.rank
    }

    /// Its place in the order of arrivals.
    #[must_use]
    pub const fn arrival(&self) -> u64 {
        self.arrival
    }
}
