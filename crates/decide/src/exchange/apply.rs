//! Applying received counters to the totals.

use mulberryyoke_model::Millis;

use super::Ledger;
use super::attribution::Target;

impl Ledger {
    /// Approximate time up to which the totals include the counters of routers that
    /// are not silent.
    #[must_use]
    pub fn as_of(&self, now: Millis) -> Millis {
        let fresh_ms = self.limits.horizon_ms;
        let age_ms = if let Some(totals) = &self.parent_totals {
            totals.age(now, fresh_ms)
        } else {
            let peers = self.origins.values();
            mean(peers.filter_map(|origin| origin.age(now, fresh_ms)))
        };
        let age_ms = age_ms.unwrap_or(0).max(self.subtree_age(now));
        now.saturating_sub(age_ms)
    }

    /// Mean age, in milliseconds, of the counters of this router's sidecars and
    /// children.
    pub(super) fn subtree_age(&self, now: Millis) -> Millis {
        let fresh_ms = self.limits.horizon_ms;
        let children = self.children.values();
        let ages = children.filter_map(|child| child.age(now, fresh_ms));
        let sidecars = self.collector.ages(now, fresh_ms);
        mean(ages.chain(sidecars)).unwrap_or(0)
    }

    pub(super) fn apply_children(&mut self, now: Millis) {
        let mut growth = Vec::new();
        for child in self.children.values_mut() {
            child.apply(now, self.limits.horizon_ms, |account, tokens| {
                growth.push((account, tokens));
            });
        }
        self.credit(growth);
    }

    pub(super) fn apply_origins(&mut self, now: Millis) {
        if self.attribution.target() != Target::Peers {
            return;
        }
        let totals = &mut self.totals;
        for origin in self.origins.values_mut() {
            origin.apply(now, self.limits.horizon_ms, |account, tokens| {
                totals.add(account, tokens);
            });
        }
    }

    pub(super) fn apply_parent_totals(&mut self, now: Millis) {
        let Some(parent_totals) = &mut self.parent_totals else {
            return;
        };
        let Some(session) = self.sessions.get(&parent_totals.instance().incarnation) else {
            return;
        };
        let horizon_ms = self.limits.horizon_ms;
        let attribution = &self.attribution;
        let pending = |account| {
            let counted = session.to_parent.at_receiver(account, now, horizon_ms);
            attribution.get(account).saturating_sub(counted)
        };
        let totals = &mut self.totals;
        parent_totals.apply(now, horizon_ms, pending, |account, tokens| {
            totals.add(account, tokens);
        });
    }
}

fn mean(ages: impl Iterator<Item = Millis>) -> Option<Millis> {
    let (sum, count) = ages.fold((0, 0), |(sum, count), age| (sum + age, count + 1));
    (count > 0).then(|| sum / count)
}
