//! The order of customers that have runnable requests.

use std::collections::BTreeSet;

use super::{AccountKey, Virtual};

/// Place of a customer in the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Rank {
    pub(crate) virtual_service: Virtual,
    pub(crate) urgent: bool,
}

/// Customers that have runnable requests, by virtual service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Order {
    urgent: BTreeSet<(Virtual, AccountKey)>,
    other: BTreeSet<(Virtual, AccountKey)>,
}

impl Order {
    pub(crate) fn replace(&mut self, key: AccountKey, old: Option<Rank>, new: Option<Rank>) {
        if old == new {
            return;
        }
        if let Some(old) = old {
            self.set(old).remove(&(old.virtual_service, key));
        }
        if let Some(new) = new {
            self.set(new).insert((new.virtual_service, key));
        }
    }

    fn set(&mut self, rank: Rank) -> &mut BTreeSet<(Virtual, AccountKey)> {
        if rank.urgent {
            &mut self.urgent
        } else {
            &mut self.other
        }
    }

    /// The customer to serve next: the least served, one with urgent work
    /// counting as served less by `lead`.
    pub(crate) fn first(&self, lead: Virtual) -> Option<AccountKey> {
        let urgent = self.urgent.first();
        let other = self.other.first();
        match (urgent, other) {
            (Some(urgent), Some(other)) if urgent.0 - lead > other.0 => Some(other.1),
            (Some(urgent), _) => Some(urgent.1),
            (None, other) => other.map(|(_, key)| *key),
        }
    }

    /// Least virtual service of all.
    pub(crate) fn floor(&self) -> Option<Virtual> {
        let urgent = self.urgent.first().map(|(service, _)| *service);
        let other = self.other.first().map(|(service, _)| *service);
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
        self.urgent.iter().chain(&self.other).map(|(_, key)| *key)
    }
}
