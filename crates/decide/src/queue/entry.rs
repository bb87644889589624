//! One waiting request.

use mulberryyoke_model::{Class, CustomerId, Millis, ServerId};

/// A waiting request; `T` is what the queue's owner keeps with it.
#[derive(Clone, Debug)]
pub struct Entry<T> {
    /// Whose request it is.
    pub customer: CustomerId,
    /// The class it came with.
    pub class: Class,
    /// When its caller stops waiting.
    pub deadline: Millis,
    /// When it came to this router.
    pub arrived_at: Millis,
    /// Estimated cost, in tokens.
    pub cost: u32,
    /// The only server that may run it, if there is one.
    pub pinned_server: Option<ServerId>,
    /// What the owner keeps.
    pub payload: T,
    pub(super) effective_class: Class,
    pub(super) arrival: u64,
}

impl<T> Entry<T> {
    /// A request that has not been queued yet.
    pub fn new(
        customer: CustomerId,
        class: Class,
        deadline: Millis,
        arrived_at: Millis,
        payload: T,
    ) -> Self {
        Self {
            customer,
            class,
            deadline,
            arrived_at,
            cost: 0,
            pinned_server: None,
            payload,
            effective_class: class,
            arrival: 0,
        }
    }

    /// Its class, risen to urgent if its deadline is near.
    #[must_use]
    pub const fn effective_class(&self) -> Class {
        self.effective_class
    }

    /// Its place in the order of arrivals.
    #[must_use]
    pub const fn arrival(&self) -> u64 {
        self.arrival
    }
}
