//! A waiting request.

use mulberryyoke_model::{Class, CustomerId, Millis, ServerId};

/// A waiting request with a payload `T`.
#[derive(Clone, Debug)]
pub struct Entry<T> {
    /// The customer that sent the request.
    pub customer: CustomerId,
    /// Class requested by the caller.
    pub class: Class,
    /// When the caller stops waiting.
    pub deadline: Millis,
    /// When the request arrived at this router.
    pub arrived_at: Millis,
    /// Estimated cost, in tokens.
    pub cost: u32,
    /// The only server that may run the request; `None` for any server in the pool.
    pub pinned_server: Option<ServerId>,
    /// Data of the queue's user.
    pub payload: T,
    pub(super) effective_class: Class,
    pub(super) arrival: u64,
}

impl<T> Entry<T> {
    /// Creates an entry that is not queued yet.
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

    /// Class used for ordering: urgent once promoted, else the requested class.
    #[must_use]
    pub const fn effective_class(&self) -> Class {
        self.effective_class
    }

    /// Sequence number in the order of arrival.
    #[must_use]
    pub const fn arrival(&self) -> u64 {
        self.arrival
    }
}
