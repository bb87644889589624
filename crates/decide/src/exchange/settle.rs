//! How a ledger's totals grow.

use mulberryyoke_model::Millis;

use super::Ledger;
use super::attribution::Target;

impl Ledger {
    pub(super) fn settle_children(&mut self, now: Millis) {
        let mut grown = Vec::new();
        for child in self.children.values_mut() {
            child.settle(now, self.bounds.horizon_ms, |account, tokens| {
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
            origin.settle(now, self.bounds.horizon_ms, |account, tokens| {
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
        let horizon_ms = self.bounds.horizon_ms;
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
