//! The order of customers that have runnable requests.

use std::collections::BTreeSet;

use super::{AccountKey, VirtualService};

/// Place of a customer in the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Rank {
    pub(crate) virtual_service: VirtualService,
    /// Orders customers served alike: differently in each life of a sidecar, so
    /// that none is ahead after every restart.
    pub(crate) tie: u32,
    pub(crate) urgent: bool,
}

type Place = (VirtualService, u32, AccountKey);

/// Customers that have runnable requests, by virtual service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Order {
    urgent: BTreeSet<Place>,
    other: BTreeSet<Place>,
}

impl Order {
    pub(crate) fn replace(&mut self, key: AccountKey, old: Option<Rank>, new: Option<Rank>) {
        if old == new {
            return;
        }
        if let Some(old) = old {
            self.set(old).remove(&(old.virtual_service, old.tie, key));
        }
        if let Some(new) = new {
            self.set(new).insert((new.virtual_service, new.tie, key));
        }
    }

    fn set(&mut self, rank: Rank) -> &mut BTreeSet<Place> {
        if rank.urgent {
            &mut self.urgent
        } else {
            &mut self.other
        }
    }

    /// The customer to serve next: the least served, one with urgent work
    /// counting as served less by `lead`.
    pub(crate) fn first(&self, lead: VirtualService) -> Option<AccountKey> {
        let urgent = self.urgent.first();
        let other = self.other.first();
        match (urgent, other) {
            (Some(urgent), Some(other)) if urgent.0 - lead > other.0 => Some(other.2),
            (Some(urgent), _) => Some(urgent.2),
            (None, other) => other.map(|(_, _, key)| *key),
        }
    }

    /// Least virtual service of all.
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
