//! Links and their long polls.

use mulberryyoke_model::{Grant, Incarnation, Millis, Report, Usage};

use super::Admission;
use super::link::{Link, LinkKey, Told, weight};

/// Least time between two polls answered only because the load changed, in
/// milliseconds.
const LOAD_INTERVAL: Millis = 200;

/// When a link's poll is to be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// At once.
    Now,
    /// At an instant, unless something comes up before.
    At(Millis),
    /// When something comes up.
    Idle,
}

impl Admission {
    /// A router's control link came up.
    pub fn connect(&mut self) -> LinkKey {
        self.links.insert(Link::default())
    }

    /// A router's control link closed: what it declared and the slots reserved
    /// for it are dropped.
    pub fn disconnect(&mut self, link: LinkKey, now: Millis) {
        let reserved = self.reservations.iter();
        let reserved = reserved.filter(|(_, reservation)| reservation.link == link);
        let reserved: Vec<u64> = reserved.map(|(grant, _)| *grant).collect();
        for grant in reserved {
            self.release(grant);
        }
        self.declare(link, true, &[], now);
        self.links.remove(link);
        self.elect_collector(now);
    }

    /// Learns whose link it is.
    pub fn identify_router(&mut self, link: LinkKey, origin: Incarnation, now: Millis) {
        let Some(entry) = self.links.get_mut(link) else {
            return;
        };
        if entry.origin == Some(origin) {
            return;
        }
        entry.origin = Some(origin);
        self.elect_collector(now);
    }

    fn elect_collector(&mut self, now: Millis) {
        let sidecar = self.setup.incarnation;
        let known = self
            .links
            .iter()
            .filter_map(|(key, link)| Some((key, link.origin?)));
        let best = known.max_by_key(|(key, origin)| (weight(sidecar, *origin), *key));
        let collector = best.map(|(key, _)| key);
        if collector != self.collector {
            self.collector = collector;
            if collector.is_some() {
                self.ledger.change_collector();
                self.reporter.change_collector(now);
            }
            self.woken.extend(collector);
        }
    }

    /// A poll came in: takes over what it tells. Only the collector's counts are
    /// used; `heard` is the instant up to which they have peers' service.
    pub fn poll(
        &mut self,
        link: LinkKey,
        counted: u64,
        fleet: &[Usage],
        heard: Millis,
        now: Millis,
    ) {
        self.expire(now);
        self.show_life(link);
        if self.collector == Some(link) {
            self.reporter.set_lag(now.saturating_sub(heard));
            self.reporter.catch_up(&mut self.ledger, now);
            self.reporter.acknowledge(&mut self.ledger, counted, now);
            let own = fleet.iter().filter(|usage| usage.pool == self.setup.pool);
            let own = own.map(|usage| (usage.customer, usage.tokens));
            let settling = self.reporter.is_settling(now);
            self.ledger.apply_fleet_totals(own, settling);
        }
        self.fill(now);
    }

    /// When the poll of a link is to be answered, besides at its own instant.
    #[must_use]
    pub fn due(&self, link: LinkKey, now: Millis) -> Due {
        let Some(entry) = self.links.get(link) else {
            return Due::Now;
        };
        let Some(told) = entry.told else {
            return Due::Now;
        };
        if !entry.grants.is_empty() || told.draining != self.is_draining() {
            return Due::Now;
        }
        let mut due = Millis::MAX;
        if told.is_idle != self.is_idle() {
            due = told.at + LOAD_INTERVAL;
        }
        if self.collector == Some(link) && self.ledger.needs_report() {
            due = due.min(self.reporter.next_at());
        }
        match due {
            Millis::MAX => Due::Idle,
            due if due <= now => Due::Now,
            due => Due::At(due),
        }
    }

    /// What to answer a link's poll with.
    pub fn poll_response(&mut self, link: LinkKey, now: Millis) -> (Vec<Grant>, Option<Report>) {
        let told = Told {
            is_idle: self.is_idle(),
            draining: self.is_draining(),
            at: now,
        };
        let is_collector = self.collector == Some(link);
        let Some(entry) = self.links.get_mut(link) else {
            return (Vec::new(), None);
        };
        entry.told = Some(told);
        let grants = std::mem::take(&mut entry.grants);
        let report = is_collector.then(|| self.reporter.next_report(&mut self.ledger, now));
        (grants, report.flatten())
    }

    fn is_idle(&self) -> bool {
        self.free_slots() > 0
    }

    /// A link showed a sign of life.
    pub(crate) fn show_life(&mut self, link: LinkKey) {
        self.suspend(link, false);
    }

    /// Leaves out, or takes back in, what waits at a link.
    pub(crate) fn suspend(&mut self, link: LinkKey, suspended: bool) {
        let Some(entry) = self.links.get_mut(link) else {
            return;
        };
        if entry.suspended == suspended {
            return;
        }
        entry.suspended = suspended;
        let accounts: Vec<_> = entry.accounts.iter().copied().collect();
        for account in accounts {
            self.change_demand(account, link, |_| ());
        }
    }
}
