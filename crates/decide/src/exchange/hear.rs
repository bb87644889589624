//! How a ledger takes in what it hears.

use mulberryyoke_model::{Incarnation, Millis, Statement};

use super::inbound::Inbound;
use super::repair;
use super::told::Told;
use super::{Account, Instance, Ledger};

impl Ledger {
    pub(super) fn told_by(&self, parent: Incarnation) -> Option<&Told> {
        let told = self.told.as_ref();
        told.filter(|told| told.life().incarnation == parent)
    }

    pub(super) fn hear_peer(&mut self, from: Instance, statement: &Statement, now: Millis) {
        let origin = self.origin(from, now);
        origin.hear(statement, now);
        for extract in &statement.extracts {
            if extract.origin == self.own.incarnation {
                continue;
            }
            let life = Instance {
                incarnation: extract.origin,
                started_at: extract.started_at,
            };
            self.origin(life, now).learn(&extract.tallies, now);
        }
        self.settle_origins(now);
    }

    pub(super) fn hear_child(&mut self, from: Instance, statement: &Statement, now: Millis) {
        if self.told_by(from.incarnation).is_some() {
            // Two routers that are each other's parent would count in a circle.
            return;
        }
        let rebased = self.graveyard.contains(from.incarnation);
        let child = self.children.entry(from.incarnation);
        let child = child.or_insert_with(|| Inbound::open(from, rebased, now));
        child.hear(statement, now);
        self.settle_children(now);
    }

    pub(super) fn hear_parent(&mut self, from: Instance, statement: &Statement, now: Millis) {
        let told = self.told.as_mut();
        let told = told.filter(|told| told.life().incarnation == from.incarnation);
        let Some(told) = told else {
            return;
        };
        told.hear(statement, now);
        self.settle_told(now);
    }

    pub(super) fn origin(&mut self, life: Instance, now: Millis) -> &mut Inbound {
        let earlier = life.started_at < self.counts_since;
        let rebased = earlier || self.graveyard.contains(life.incarnation);
        let origin = self.origins.entry(life.incarnation);
        origin.or_insert_with(|| Inbound::open(life, rebased, now))
    }

    /// Counts service as this router's own.
    pub(super) fn credit(&mut self, grown: Vec<(Account, u64)>) {
        for (account, tokens) in grown {
            self.attribution.add(account, tokens);
            self.totals.add(account, tokens);
            if let Some(told) = &mut self.told {
                told.credit(account, tokens);
            }
        }
    }

    /// Adds to a statement for a peer what it lacks, and now and then what is known here.
    pub(super) fn compare(&mut self, statement: &mut Statement, now: Millis) {
        let Some(edge) = self.edges.get_mut(&statement.to) else {
            return;
        };
        let due = edge
            .compared
            .is_none_or(|at| self.ticks >= at + repair::INTERVAL);
        if due {
            edge.compared = Some(self.ticks);
            statement.known = repair::known(
                self.own.incarnation,
                &self.origins,
                now,
                self.limits.horizon_ms,
            );
        }
        if let Some(known) = edge.known.take() {
            let most = self.limits.max_entries;
            let round = edge.rounds;
            edge.rounds += 1;
            statement.extracts = repair::extracts(&self.origins, statement.to, &known, round, most);
        }
    }

    /// Forgets lives that are long gone. Their service stays in the totals.
    pub(super) fn forget(&mut self, now: Millis) {
        let before = now.saturating_sub(self.limits.retention_ms);
        let graveyard = &mut self.graveyard;
        let mut keep = |life: &Incarnation, inbound: &mut Inbound| {
            let kept = inbound.changed_at() >= before;
            if !kept {
                graveyard.add(*life);
            }
            kept
        };
        self.origins.retain(&mut keep);
        self.children.retain(&mut keep);
        self.collector.forget(before);
        self.edges.retain(|_, edge| edge.used_at >= before);
    }
}
