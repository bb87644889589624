//! Grants: free slots reserved for waiting requests.

use mulberryyoke_model::{Grant, Interest, Millis};

use super::link::LinkKey;
use super::{Admission, Scheduling};
use crate::account::{AccountKey, Charge, Demand, VirtualService};

/// Time until an unused grant expires, in milliseconds.
pub const GRANT_TTL: Millis = 1_000;

/// A slot reserved for a request of one customer at one link.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reservation {
    pub(crate) account: AccountKey,
    pub(crate) link: LinkKey,
    pub(crate) expires_at: Millis,
    /// Estimated cost, in tokens.
    pub(crate) estimate: u64,
    /// Rank of the class for which the slot is reserved.
    pub(crate) class: usize,
}

impl Admission {
    /// Applies a router's declaration of its waiting requests. A full declaration
    /// replaces all earlier ones.
    pub fn declare(&mut self, link: LinkKey, full: bool, interest: &[Interest], now: Millis) {
        self.expire_grants(now);
        self.mark_alive(link);
        if full {
            self.clear_demands(link);
        }
        // One floor for all, so that the order of the customers does not matter.
        let floor = self.ledger.floor();
        for interest in interest {
            self.declare_customer(link, interest, floor);
        }
        self.grant_free_slots(now);
    }

    fn declare_customer(&mut self, link: LinkKey, interest: &Interest, floor: VirtualService) {
        let Some(entry) = self.links.get_mut(link) else {
            return;
        };
        let account = self.ledger.get_or_open(interest.customer);
        entry.accounts.insert(account);
        if interest.total() > 0 {
            self.ledger.lift_to(account, floor);
        }
        self.update_demand(account, link, |demand| demand.update(interest));
    }

    /// Releases grants for which the router has no request.
    pub fn decline(&mut self, link: LinkKey, grants: &[u64], now: Millis) {
        self.expire_grants(now);
        self.mark_alive(link);
        for grant in grants {
            let is_own = self.reservations.get(grant).is_some_and(|r| r.link == link);
            if is_own {
                self.release(*grant);
            }
        }
        self.grant_free_slots(now);
    }

    /// Expires unused grants.
    pub fn tick(&mut self, now: Millis) {
        self.expire_grants(now);
        self.grant_free_slots(now);
    }

    /// When the next grant expires.
    #[must_use]
    pub fn next_grant_expiry(&self) -> Option<Millis> {
        let first = self.reservations.first_key_value();
        first.map(|(_, reservation)| reservation.expires_at)
    }

    pub(crate) fn expire_grants(&mut self, now: Millis) {
        while let Some((grant, reservation)) = self.reservations.first_key_value() {
            if reservation.expires_at > now {
                return;
            }
            let (grant, link) = (*grant, reservation.link);
            self.release(grant);
            self.set_suspended(link, true);
        }
    }

    /// Releases a reserved slot. If the grant was not sent, the request counts as
    /// waiting again.
    pub(crate) fn release(&mut self, grant: u64) -> Option<Reservation> {
        let reservation = self.reservations.remove(&grant)?;
        let account = reservation.account;
        self.ledger.unreserve(account, reservation.estimate);
        let link = self.links.get_mut(reservation.link);
        let unsent = link.and_then(|link| {
            let index = link.grants.iter().position(|unsent| unsent.id == grant)?;
            link.accounts.insert(account);
            Some(link.grants.swap_remove(index))
        });
        if unsent.is_some() {
            self.update_demand(account, reservation.link, |demand| {
                demand.release_one(reservation.class);
            });
        }
        Some(reservation)
    }

    /// Releases grants that have not been sent to a router.
    pub(crate) fn revoke_unsent_grants(&mut self) {
        let unsent = self.links.values().flat_map(|link| &link.grants);
        let unsent: Vec<u64> = unsent.map(|grant| grant.id).collect();
        for grant in unsent {
            self.release(grant);
        }
    }

    /// Reserves slots while one is free and a request is runnable; under
    /// [`Scheduling::Immediate`], a slot for every waiting request.
    pub(crate) fn grant_free_slots(&mut self, now: Millis) {
        if !self.is_draining() {
            while self.can_start() && self.reserve_next(now) {}
        }
        self.check();
    }

    /// Whether another request may start.
    pub(crate) fn can_start(&self) -> bool {
        match self.setup.scheduling {
            Scheduling::Fair => self.free_slots() > 0,
            Scheduling::Immediate => !self.backend_down,
        }
    }

    fn reserve_next(&mut self, now: Millis) -> bool {
        let Some(account) = self.ledger.next_customer() else {
            return false;
        };
        self.ledger.mark_served(account);
        let holder = self.ledger.account(account);
        let best = holder.demands.iter().filter(|demand| demand.runnable() > 0);
        let best = best.min_by_key(|demand| (demand.best_class(), demand.since, demand.link));
        let Some(best) = best else {
            return false;
        };
        let (link, cost, class) = (best.link, best.cost, best.best_class());
        let estimate = Charge::new(self.estimate(account, cost)).charged();
        let grant = Grant {
            id: self.next_grant,
            customer: holder.customer,
            until: now + GRANT_TTL,
        };
        self.next_grant += 1;
        let reservation = Reservation {
            account,
            link,
            expires_at: grant.until,
            estimate,
            class,
        };
        self.reservations.insert(grant.id, reservation);
        self.ledger.reserve(account, estimate);
        self.update_demand(account, link, Demand::reserve_one);
        self.links[link].grants.push(grant);
        self.ready_links.push(link);
        true
    }

    /// Updates the demand of a customer at a link; removes it if it becomes empty.
    pub(crate) fn update_demand(
        &mut self,
        account: AccountKey,
        link: LinkKey,
        change: impl FnOnce(&mut Demand),
    ) {
        let suspended = self.links.get(link).is_none_or(|link| link.suspended);
        let is_empty = self.ledger.update(account, |account| {
            let found = account
                .demands
                .iter()
                .position(|demand| demand.link == link);
            let index = found.unwrap_or_else(|| {
                account.demands.push(Demand::new(link));
                account.demands.len() - 1
            });
            let demand = &mut account.demands[index];
            demand.suspended = suspended;
            change(demand);
            let is_empty = demand.is_empty();
            if is_empty {
                account.demands.swap_remove(index);
            }
            is_empty
        });
        if is_empty && let Some(link) = self.links.get_mut(link) {
            link.accounts.remove(&account);
        }
    }

    fn clear_demands(&mut self, link: LinkKey) {
        let Some(entry) = self.links.get(link) else {
            return;
        };
        let accounts: Vec<AccountKey> = entry.accounts.iter().copied().collect();
        for account in accounts {
            self.update_demand(account, link, Demand::clear);
        }
    }
}
