//! State of one router in the exchange.

use std::collections::HashMap;

use mulberryyoke_model::{Incarnation, Millis, Relation, Report, Statement, Usage};

use super::account::group;
use super::attribution::{Attribution, Target};
use super::collector::Collector;
use super::inbound::Inbound;
use super::parent_totals::ParentTotals;
use super::repair;
use super::session::Session;
use super::tombstones::Tombstones;
use super::totals::Totals;
use super::{Cursor, Instance, Limits};

/// State of one router in the exchange: reports of its sidecars, counters of its
/// children and other routers, and the totals of the fleet.
#[derive(Debug)]
pub struct Ledger {
    pub(super) own: Instance,
    pub(super) limits: Limits,
    pub(super) ticked_at: Millis,
    pub(super) ticks: u64,
    /// Sequence number of the last statement to any receiver.
    pub(super) sequence: u64,
    /// Origins that started earlier are counted from the first value received.
    pub(super) baseline_at: Millis,
    pub(super) collector: Collector,
    pub(super) attribution: Attribution,
    pub(super) children: HashMap<Incarnation, Inbound>,
    pub(super) origins: HashMap<Incarnation, Inbound>,
    pub(super) parent_totals: Option<ParentTotals>,
    pub(super) sessions: HashMap<Incarnation, Session>,
    pub(super) tombstones: Tombstones,
    pub(super) totals: Totals,
}

impl Ledger {
    /// Creates the empty ledger of a router instance.
    #[must_use]
    pub fn new(own: Instance, limits: Limits) -> Self {
        Self {
            own,
            limits,
            ticked_at: own.started_at,
            ticks: 0,
            sequence: 0,
            baseline_at: own.started_at,
            collector: Collector::default(),
            attribution: Attribution::default(),
            children: HashMap::new(),
            origins: HashMap::new(),
            parent_totals: None,
            sessions: HashMap::new(),
            tombstones: Tombstones::default(),
            totals: Totals::default(),
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Adds a sidecar's report to the totals. Returns the sequence number of the last
    /// report counted.
    ///
    /// A sidecar reports to one collector at a time, with consecutive sequence numbers,
    /// and sends all its counters to a new collector or over a new link. Tokens charged
    /// after the last report that the previous collector counted are missing from the
    /// totals; that is at most one report interval of one server.
    pub fn collect(&mut self, sidecar: Incarnation, report: &Report, now: Millis) -> u64 {
        let mut growth = Vec::new();
        let on_growth = |account, tokens| growth.push((account, tokens));
        let counted = self.collector.collect(sidecar, report, now, on_growth);
        self.credit(growth);
        counted
    }

    /// Sets the parent; `None` for a router that exchanges with peers.
    pub fn set_parent(&mut self, parent: Option<Instance>, now: Millis) {
        let target = parent.map_or(Target::Peers, |instance| {
            Target::Parent(instance.incarnation)
        });
        let old = self.attribution.target();
        if target == old {
            return;
        }
        let sessions = &self.sessions;
        let acknowledged = |account| match old {
            Target::Peers => {
                let tokens = sessions
                    .values()
                    .map(|session| session.to_peer.acknowledged(account));
                tokens.max().unwrap_or(0)
            }
            Target::Parent(instance) => sessions
                .get(&instance)
                .map_or(0, |session| session.to_parent.acknowledged(account)),
        };
        let moved = self.attribution.switch(target, acknowledged);
        self.parent_totals = parent.map(|instance| ParentTotals::new(instance, now, moved));
        if parent.is_none() {
            // The parent's totals already included what the peers sent meanwhile.
            self.baseline_at = now;
            let horizon_ms = self.limits.horizon_ms;
            for origin in self.origins.values_mut() {
                origin.apply(now, horizon_ms, |_, _| ());
            }
        }
    }

    /// The parent, if any.
    #[must_use]
    pub fn parent(&self) -> Option<Incarnation> {
        match self.attribution.target() {
            Target::Peers => None,
            Target::Parent(instance) => Some(instance),
        }
    }

    /// Composes the next statement for a receiver. `relation` is what this router is
    /// to the receiver.
    pub fn next_statement(
        &mut self,
        to: Incarnation,
        relation: Relation,
        now: Millis,
    ) -> Statement {
        let age_ms = match relation {
            Relation::Parent => now.saturating_sub(self.as_of(now)),
            Relation::Peer | Relation::Child => self.subtree_age(now),
        };
        self.sequence += 1;
        let sequence = self.sequence;
        let session = self.sessions.entry(to).or_default();
        session.used_at = now;
        let (outbound, counters) = match relation {
            Relation::Peer => (
                &mut session.to_peer,
                self.attribution.counters(Target::Peers),
            ),
            Relation::Child => (
                &mut session.to_parent,
                self.attribution.counters(Target::Parent(to)),
            ),
            Relation::Parent => (&mut session.to_child, self.totals.counters()),
        };
        let flows = outbound.compose(sequence, counters, now, &self.limits);
        let acknowledged = match relation {
            Relation::Peer => self.origins.get(&to).map_or(0, Inbound::sequence),
            Relation::Child => self.totals_from(to).map_or(0, ParentTotals::sequence),
            Relation::Parent => self.children.get(&to).map_or(0, Inbound::sequence),
        };
        let mut statement = Statement {
            relation,
            to,
            sequence,
            acknowledged,
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            pools: group(flows),
            digest: Vec::new(),
            relayed: Vec::new(),
        };
        if relation == Relation::Peer {
            self.add_repair(&mut statement, now);
        }
        statement
    }

    /// Processes a statement of another router.
    pub fn receive(&mut self, from: Instance, statement: &Statement, now: Millis) {
        if statement.to != self.own.incarnation || from.incarnation == self.own.incarnation {
            return;
        }
        let session = self.sessions.entry(from.incarnation).or_default();
        session.used_at = now;
        match statement.relation {
            Relation::Peer => {
                session.to_peer.acknowledge(statement.acknowledged);
                if !statement.digest.is_empty() {
                    session.digest = Some(statement.digest.clone());
                }
                self.receive_from_peer(from, statement, now);
            }
            Relation::Child => {
                session.to_child.acknowledge(statement.acknowledged);
                self.receive_from_child(from, statement, now);
            }
            Relation::Parent => {
                session.to_parent.acknowledge(statement.acknowledged);
                self.receive_from_parent(from, statement, now);
            }
        }
    }

    /// Updates the totals and growth rates; called once per exchange interval.
    pub fn tick(&mut self, now: Millis) {
        let elapsed_ms = now.saturating_sub(self.ticked_at);
        self.ticked_at = now;
        self.ticks += 1;
        self.apply_children(now);
        self.apply_origins(now);
        self.apply_parent_totals(now);
        self.attribution.update_rates(elapsed_ms);
        self.totals.update_rates(elapsed_ms);
        if self.ticks.is_multiple_of(repair::INTERVAL_TICKS) {
            self.origins.values_mut().for_each(Inbound::set_checkpoint);
            self.expire(now);
        }
    }

    /// Totals that changed since the cursor. Advances the cursor.
    pub fn totals_since(&self, cursor: &mut Cursor) -> Vec<Usage> {
        self.totals.since(cursor)
    }

    /// Totals to send to a sidecar after its report: those of the accounts in the
    /// report, and up to `max_entries` others, largest growth since they were last sent
    /// first. The first call returns all. A total left out lags by at most the smallest
    /// growth sent. Use one cursor per link.
    pub fn totals_for_sidecar(&self, sidecar: Incarnation, cursor: &mut Cursor) -> Vec<Usage> {
        let reported = self.collector.last_reported(sidecar);
        self.totals
            .select(reported, self.limits.max_entries, cursor)
    }
}
