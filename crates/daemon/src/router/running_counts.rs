//! Number of running requests by customer.

use std::collections::HashMap;

use mulberryyoke_model::CustomerId;
use parking_lot::Mutex;

/// Number of this router's requests in flight, by customer.
#[derive(Debug, Default)]
pub(crate) struct RunningCounts {
    by_customer: Mutex<HashMap<CustomerId, u32>>,
}

impl RunningCounts {
    pub(crate) fn increment(&self, customer: CustomerId) {
        *self.by_customer.lock().entry(customer).or_default() += 1;
    }

    pub(crate) fn decrement(&self, customer: CustomerId) {
        let mut counts = self.by_customer.lock();
        let Some(count) = counts.get_mut(&customer) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            counts.remove(&customer);
        }
    }

    pub(crate) fn get(&self, customer: CustomerId) -> u32 {
        self.by_customer.lock().get(&customer).copied().unwrap_or(0)
    }

    /// Running requests of all customers.
    pub(crate) fn total(&self) -> u32 {
        self.by_customer.lock().values().sum()
    }
}
