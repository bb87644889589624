//! Processing of received statements, and repair.

use mulberryyoke_model::{Incarnation, Millis, Statement};

use super::inbound::Inbound;
use super::parent_totals::ParentTotals;
use super::repair;
use super::{Account, Instance, Ledger};

impl Ledger {
    pub(super) fn totals_from(&self, parent: Incarnation) -> Option<&ParentTotals> {
        let totals = self.parent_totals.as_ref();
        totals.filter(|totals| totals.instance().incarnation == parent)
    }

    pub(super) fn receive_from_peer(&mut self, from: Instance, statement: &Statement, now: Millis) {
        let origin = self.origin(from, now);
        origin.receive(statement, now);
        for relayed in &statement.relayed {
            if relayed.origin == self.own.incarnation {
                continue;
            }
            let instance = Instance {
                incarnation: relayed.origin,
                started_at: relayed.started_at,
            };
            self.origin(instance, now)
                .receive_relayed(&relayed.pools, now);
        }
        self.apply_origins(now);
    }

    pub(super) fn receive_from_child(
        &mut self,
        from: Instance,
        statement: &Statement,
        now: Millis,
    ) {
        if self.totals_from(from.incarnation).is_some() {
            // Two routers that are each other's parent would count in a loop.
            return;
        }
        let is_rebased = self.tombstones.contains(from.incarnation);
        let child = self.children.entry(from.incarnation);
        let child = child.or_insert_with(|| Inbound::new(from, is_rebased, now));
        child.receive(statement, now);
        self.apply_children(now);
    }

    pub(super) fn receive_from_parent(
        &mut self,
        from: Instance,
        statement: &Statement,
        now: Millis,
    ) {
        let totals = self.parent_totals.as_mut();
        let totals = totals.filter(|totals| totals.instance().incarnation == from.incarnation);
        let Some(totals) = totals else {
            return;
        };
        totals.receive(statement, now);
        self.apply_parent_totals(now);
    }

    pub(super) fn origin(&mut self, instance: Instance, now: Millis) -> &mut Inbound {
        let is_older = instance.started_at < self.baseline_at;
        let is_rebased = is_older || self.tombstones.contains(instance.incarnation);
        let origin = self.origins.entry(instance.incarnation);
        origin.or_insert_with(|| Inbound::new(instance, is_rebased, now))
    }

    /// Adds tokens to this router's own counters.
    pub(super) fn credit(&mut self, growth: Vec<(Account, u64)>) {
        for (account, tokens) in growth {
            self.attribution.add(account, tokens);
            self.totals.add(account, tokens);
            if let Some(totals) = &mut self.parent_totals {
                totals.credit(account, tokens);
            }
        }
    }

    /// Adds repair data to a statement for a peer: the counters missing from its last
    /// digest and, periodically, this router's digest.
    pub(super) fn add_repair(&mut self, statement: &mut Statement, now: Millis) {
        let Some(session) = self.sessions.get_mut(&statement.to) else {
            return;
        };
        let is_due = session
            .digest_sent_at
            .is_none_or(|at| self.ticks >= at + repair::INTERVAL_TICKS);
        if is_due {
            session.digest_sent_at = Some(self.ticks);
            statement.digest = repair::digest(
                self.own.incarnation,
                &self.origins,
                now,
                self.limits.horizon_ms,
            );
        }
        if let Some(digest) = session.digest.take() {
            let page_size = self.limits.max_entries;
            let page = session.pages;
            session.pages += 1;
            statement.relayed =
                repair::missing_counters(&self.origins, statement.to, &digest, page, page_size);
        }
    }

    /// Drops the state of instances past the retention time. Their tokens stay in the
    /// totals.
    pub(super) fn expire(&mut self, now: Millis) {
        let cutoff = now.saturating_sub(self.limits.retention_ms);
        let tombstones = &mut self.tombstones;
        let mut retain = |instance: &Incarnation, inbound: &mut Inbound| {
            let is_retained = inbound.updated_at() >= cutoff;
            if !is_retained {
                tombstones.add(*instance);
            }
            is_retained
        };
        self.origins.retain(&mut retain);
        self.children.retain(&mut retain);
        self.collector.expire(cutoff);
        self.sessions.retain(|_, session| session.used_at >= cutoff);
    }
}
