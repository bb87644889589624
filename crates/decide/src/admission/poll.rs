//! Control links and their long polls.

use mulberryyoke_model::{Grant, Incarnation, Millis, Report, Usage};

use super::Admission;
use super::link::{Link, LinkKey, ReportedLoad, collector_weight};

/// Minimum time between two poll responses sent only because the load changed, in
/// milliseconds.
const MIN_LOAD_INTERVAL: Millis = 200;

/// When to respond to a link's poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// Immediately.
    Now,
    /// At the given time, or earlier if the state changes.
    At(Millis),
    /// When the state changes.
    Idle,
}

impl Admission {
    /// Adds a control link.
    pub fn connect(&mut self) -> LinkKey {
        self.links.insert(Link::default())
    }

    /// Removes a control link, with its declared requests and reserved slots.
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

    /// Sets the router incarnation of a link.
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
        let best = known.max_by_key(|(key, origin)| (collector_weight(sidecar, *origin), *key));
        let collector = best.map(|(key, _)| key);
        if collector != self.collector {
            self.collector = collector;
            if collector.is_some() {
                self.ledger.change_collector();
                self.reporter.change_collector(now);
            }
            self.ready_links.extend(collector);
        }
    }

    /// Applies the counts in a poll; only those of the collector are used.
    /// `acknowledged` is the last report included in them, `fleet_as_of` the time up
    /// to which they include service reported by peers.
    pub fn poll(
        &mut self,
        link: LinkKey,
        acknowledged: u64,
        fleet: &[Usage],
        fleet_as_of: Millis,
        now: Millis,
    ) {
        self.expire_grants(now);
        self.mark_alive(link);
        if self.collector == Some(link) {
            self.reporter.set_lag(now.saturating_sub(fleet_as_of));
            self.reporter.catch_up(&mut self.ledger, now);
            self.reporter
                .acknowledge(&mut self.ledger, acknowledged, now);
            let totals = fleet.iter().filter(|usage| usage.pool == self.setup.pool);
            let totals = totals.map(|usage| (usage.customer, usage.tokens));
            let settling = self.reporter.is_settling(now);
            self.ledger.apply_fleet_totals(totals, settling);
        }
        self.grant_free_slots(now);
    }

    /// When to respond to the poll of a link, apart from its own timeout.
    #[must_use]
    pub fn due(&self, link: LinkKey, now: Millis) -> Due {
        let Some(entry) = self.links.get(link) else {
            return Due::Now;
        };
        let Some(reported) = entry.reported else {
            return Due::Now;
        };
        if !entry.grants.is_empty() || reported.draining != self.is_draining() {
            return Due::Now;
        }
        let mut due = Millis::MAX;
        if reported.is_idle != self.is_idle() {
            due = reported.at + MIN_LOAD_INTERVAL;
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

    /// Removes and returns the pending grants and the next report for a poll response.
    pub fn poll_response(&mut self, link: LinkKey, now: Millis) -> (Vec<Grant>, Option<Report>) {
        let reported = ReportedLoad {
            is_idle: self.is_idle(),
            draining: self.is_draining(),
            at: now,
        };
        let is_collector = self.collector == Some(link);
        let Some(entry) = self.links.get_mut(link) else {
            return (Vec::new(), None);
        };
        entry.reported = Some(reported);
        let grants = std::mem::take(&mut entry.grants);
        let report = is_collector.then(|| self.reporter.next_report(&mut self.ledger, now));
        (grants, report.flatten())
    }

    fn is_idle(&self) -> bool {
        self.free_slots() > 0
    }

    /// Resumes granting to a link that sent a message.
    pub(crate) fn mark_alive(&mut self, link: LinkKey) {
        self.set_suspended(link, false);
    }

    /// Excludes the requests waiting at a link from scheduling, or includes them again.
    pub(crate) fn set_suspended(&mut self, link: LinkKey, suspended: bool) {
        let Some(entry) = self.links.get_mut(link) else {
            return;
        };
        if entry.suspended == suspended {
            return;
        }
        entry.suspended = suspended;
        let accounts: Vec<_> = entry.accounts.iter().copied().collect();
        for account in accounts {
            self.update_demand(account, link, |_| ());
        }
    }
}
