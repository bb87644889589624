//! Which customers' waiting requests have changed since a reader last looked.

use std::collections::{BTreeMap, HashMap};

use mulberryyoke_model::CustomerId;

/// A log of changes that keeps the latest of each customer only.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    last: u64,
    by_number: BTreeMap<u64, CustomerId>,
    by_customer: HashMap<CustomerId, u64>,
}

impl ChangeLog {
    /// Notes a change; returns its number.
    pub fn record(&mut self, customer: CustomerId) -> u64 {
        self.last += 1;
        if let Some(earlier) = self.by_customer.insert(customer, self.last) {
            self.by_number.remove(&earlier);
        }
        self.by_number.insert(self.last, customer);
        self.last
    }

    /// The number of the latest change.
    #[must_use]
    pub const fn latest(&self) -> u64 {
        self.last
    }

    /// Customers changed after the change of that number.
    pub fn since(&self, number: u64) -> impl Iterator<Item = CustomerId> {
        let newer = self.by_number.range(number.saturating_add(1)..);
        newer.map(|(_, &customer)| customer)
    }
}
