//! Running requests by customer.

use std::collections::HashMap;

use mulberryyoke_model::CustomerId;
use parking_lot::Mutex;

/// Requests of this router that were sent and have not ended.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    running: Mutex<HashMap<CustomerId, u32>>,
}

impl Counts {
    pub(crate) fn begin(&self, customer: CustomerId) {
        *self.running.lock().entry(customer).or_default() += 1;
    }

    pub(crate) fn end(&self, customer: CustomerId) {
        let mut running = self.running.lock();
        let Some(count) = running.get_mut(&customer) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            running.remove(&customer);
        }
    }

    pub(crate) fn running(&self, customer: CustomerId) -> u32 {
        self.running.lock().get(&customer).copied().unwrap_or(0)
    }

    /// Running requests of all customers.
    pub(crate) fn total(&self) -> u32 {
        self.running.lock().values().sum()
    }
}
