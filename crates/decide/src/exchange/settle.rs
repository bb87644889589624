//! How a ledger's totals grow.

use mulberryyoke_model::Millis;

use super::Ledger;
use super::attribution::Target;

impl Ledger {
    /// About the instant up to which the totals include what other routers counted, as
    /// far as they are heard.
    #[must_use]
    pub fn as_of(&self, now: Millis) -> Millis {
        let fresh_ms = self.limits.horizon_ms;
        let age_ms = if let Some(told) = &self.told {
            told.age(now, fresh_ms)
        } else {
            let peers = self.origins.values();
            mean(peers.filter_map(|origin| origin.age(now, fresh_ms)))
        };
        let age_ms = age_ms.unwrap_or(0).max(self.age_below(now));
        now.saturating_sub(age_ms)
    }

    /// How old what this router hands on is, in milliseconds: the counters of its sidecars
    /// and children.
    pub(super) fn age_below(&self, now: Millis) -> Millis {
        let fresh_ms = self.limits.horizon_ms;
        let children = self.children.values();
        let ages = children.filter_map(|child| child.age(now, fresh_ms));
        let sidecars = self.collector.ages(now, fresh_ms);
        mean(ages.chain(sidecars)).unwrap_or(0)
    }

    pub(super) fn settle_children(&mut self, now: Millis) {
        let mut grown = Vec::new();
        for child in self.children.values_mut() {
            child.settle(now, self.limits.horizon_ms, |account, tokens| {
                grown.push((account, tokens));
            });
        }
        self.credit(grown);
    }

    pub(super) fn settle_origins(&mut self, now: Millis) {
        if self.attribution.target() != Target::Peers {
            return;
        }
        let totals = &mut self.totals;
        for origin in self.origins.values_mut() {
            origin.settle(now, self.limits.horizon_ms, |account, tokens| {
                totals.add(account, tokens);
            });
        }
    }

    pub(super) fn settle_told(&mut self, now: Millis) {
        let Some(told) = &mut self.told else {
            return;
        };
        let Some(edge) = self.edges.get(&told.life().incarnation) else {
            return;
        };
        let horizon_ms = self.limits.horizon_ms;
        let attribution = &self.attribution;
        let pending = |account| {
            let held = edge.parent.at_receiver(account, now, horizon_ms);
            attribution.get(account).saturating_sub(held)
        };
        let totals = &mut self.totals;
        told.settle(now, horizon_ms, pending, |account, tokens| {
            totals.add(account, tokens);
        });
    }
}

fn mean(ages: impl Iterator<Item = Millis>) -> Option<Millis> {
    let (sum, count) = ages.fold((0, 0), |(sum, count), age| (sum + age, count + 1));
    (count > 0).then(|| sum / count)
}
