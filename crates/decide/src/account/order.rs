//! Service order of the customers that have runnable requests.

use std::collections::BTreeSet;

use super::{AccountKey, VirtualService};

/// Position of a customer in the service order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SortKey {
    pub(crate) virtual_service: VirtualService,
    /// Orders customers with equal virtual service. Differs after each restart of
    /// the sidecar, so that no customer is always first.
    pub(crate) tie_breaker: u32,
    pub(crate) urgent: bool,
}

type Entry = (VirtualService, u32, AccountKey);

/// Customers that have runnable requests, by virtual service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Order {
    urgent: BTreeSet<Entry>,
    other: BTreeSet<Entry>,
}

impl Order {
    pub(crate) fn replace(&mut self, key: AccountKey, old: Option<SortKey>, new: Option<SortKey>) {
        if old == new {
            return;
        }
        if let Some(old) = old {
            self.set_of(old)
                .remove(&(old.virtual_service, old.tie_breaker, key));
        }
        if let Some(new) = new {
            self.set_of(new)
                .insert((new.virtual_service, new.tie_breaker, key));
        }
    }

    fn set_of(&mut self, sort_key: SortKey) -> &mut BTreeSet<Entry> {
        if sort_key.urgent {
            &mut self.urgent
        } else {
            &mut self.other
        }
    }

    /// Returns the customer to serve next: the least served one, where `lead` is
    /// subtracted from the service of customers with urgent requests.
    pub(crate) fn first(&self, lead: VirtualService) -> Option<AccountKey> {
        let urgent = self.urgent.first();
        let other = self.other.first();
        match (urgent, other) {
            (Some(urgent), Some(other)) if urgent.0 - lead > other.0 => Some(other.2),
            (Some(urgent), _) => Some(urgent.2),
            (None, other) => other.map(|(_, _, key)| *key),
        }
    }

    /// Lowest virtual service of all customers.
    pub(crate) fn floor(&self) -> Option<VirtualService> {
        let urgent = self.urgent.first().map(|(service, _, _)| *service);
        let other = self.other.first().map(|(service, _, _)| *service);
        match (urgent, other) {
            (Some(urgent), Some(other)) => Some(urgent.min(other)),
            (urgent, other) => urgent.or(other),
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.other.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.urgent.len() + self.other.len()
    }

    pub(crate) fn keys(&self) -> impl Iterator<Item = AccountKey> {
        self.urgent
            .iter()
            .chain(&self.other)
            .map(|(_, _, key)| *key)
    }
}
