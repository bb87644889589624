//! Log of the customers whose waiting requests have changed.

use std::collections::{BTreeMap, HashMap};

use mulberryyoke_model::CustomerId;

/// A change log, compacted to the latest change of each customer.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    latest: u64,
    by_number: BTreeMap<u64, CustomerId>,
    by_customer: HashMap<CustomerId, u64>,
}

impl ChangeLog {
    /// Appends a change and returns its number.
    pub fn record(&mut self, customer: CustomerId) -> u64 {
        self.latest += 1;
        if let Some(earlier) = self.by_customer.insert(customer, self.latest) {
            self.by_number.remove(&earlier);
        }
        self.by_number.insert(self.latest, customer);
        self.latest
    }

    /// Number of the latest change.
    #[must_use]
    pub const fn latest(&self) -> u64 {
        self.latest
    }

    /// Customers whose latest change is after the given number.
    pub fn since(&self, number: u64) -> impl Iterator<Item = CustomerId> {
        let newer = self.by_number.range(number.saturating_add(1)..);
        newer.map(|(_, &customer)| customer)
    }
}
