//! Giving out free slots.

use mulberryyoke_model::{Grant, Interest, Millis};

use super::link::LinkKey;
use super::{Admission, Scheduling};
use crate::account::{AccountKey, Charge, Demand, VirtualService};

/// How long a slot stays reserved for a request, in milliseconds.
pub const GRANT_TTL: Millis = 1_000;

/// A slot reserved for one customer's request at one link.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reservation {
    pub(crate) account: AccountKey,
    pub(crate) link: LinkKey,
    pub(crate) until: Millis,
    /// Expected cost, in tokens.
    pub(crate) estimate: u64,
    /// Rank of the class that it was reserved for.
    pub(crate) class: usize,
}

impl Admission {
    /// Takes over what waits at a link's router; `full` replaces all that it
    /// declared before.
    pub fn declare(&mut self, link: LinkKey, full: bool, interest: &[Interest], now: Millis) {
        self.expire(now);
        self.show_life(link);
        if full {
            self.clear_demands(link);
        }
        // The order in which a router names its customers must not matter.
        let floor = self.ledger.floor();
        for interest in interest {
            self.declare_one(link, interest, floor);
        }
        self.fill(now);
    }

    fn declare_one(&mut self, link: LinkKey, interest: &Interest, floor: VirtualService) {
        let Some(entry) = self.links.get_mut(link) else {
            return;
        };
        let account = self.ledger.get_or_open(interest.customer);
        entry.accounts.insert(account);
        if interest.total() > 0 {
            self.ledger.lift_to(account, floor);
        }
        self.change_demand(account, link, |demand| demand.update(interest));
    }

    /// Gives back reserved slots that found no request.
    pub fn decline(&mut self, link: LinkKey, grants: &[u64], now: Millis) {
        self.expire(now);
        self.show_life(link);
        for grant in grants {
            let is_own = self.reservations.get(grant).is_some_and(|r| r.link == link);
            if is_own {
                self.release(*grant);
            }
        }
        self.fill(now);
    }

    /// Time passes: reserved slots that were not used lapse.
    pub fn tick(&mut self, now: Millis) {
        self.expire(now);
        self.fill(now);
    }

    /// When the next reserved slot lapses.
    #[must_use]
    pub fn next_grant_expiry(&self) -> Option<Millis> {
        let first = self.reservations.first_key_value();
        first.map(|(_, reservation)| reservation.until)
    }

    pub(crate) fn expire(&mut self, now: Millis) {
        while let Some((grant, reservation)) = self.reservations.first_key_value() {
            if reservation.until > now {
                return;
            }
            let (grant, link) = (*grant, reservation.link);
            self.release(grant);
            self.suspend(link, true);
        }
    }

    /// Frees a reserved slot. A router that never learnt of it still has the
    /// request waiting.
    pub(crate) fn release(&mut self, grant: u64) -> Option<Reservation> {
        let reservation = self.reservations.remove(&grant)?;
        let account = reservation.account;
        self.ledger.unreserve(account, reservation.estimate);
        let link = self.links.get_mut(reservation.link);
        let untold = link.and_then(|link| {
            let index = link.grants.iter().position(|untold| untold.id == grant)?;
            link.accounts.insert(account);
            Some(link.grants.swap_remove(index))
        });
        if untold.is_some() {
            self.change_demand(account, reservation.link, |demand| {
                demand.release_one(reservation.class);
            });
        }
        Some(reservation)
    }

    /// Takes back reserved slots that no router knows of.
    pub(crate) fn take_back_untold(&mut self) {
        let untold = self.links.values().flat_map(|link| &link.grants);
        let untold: Vec<u64> = untold.map(|grant| grant.id).collect();
        for grant in untold {
            self.release(grant);
        }
    }

    /// Reserves free slots while any request is runnable; without order, a slot for
    /// each.
    pub(crate) fn fill(&mut self, now: Millis) {
        if !self.is_draining() {
            while self.may_start() && self.reserve(now) {}
        }
        self.check();
    }

    /// Whether the backend can be given another request.
    pub(crate) fn may_start(&self) -> bool {
        match self.setup.scheduling {
            Scheduling::Fair => self.free_slots() > 0,
            Scheduling::Immediate => !self.down,
        }
    }

    fn reserve(&mut self, now: Millis) -> bool {
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
            until: grant.until,
            estimate,
            class,
        };
        self.reservations.insert(grant.id, reservation);
        self.ledger.reserve(account, estimate);
        self.change_demand(account, link, Demand::reserve_one);
        self.links[link].grants.push(grant);
        self.woken.push(link);
        true
    }

    /// Changes what waits for a customer at a link.
    pub(crate) fn change_demand(
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
            self.change_demand(account, link, Demand::clear);
        }
    }
}
