//! A router's share in the exchange.

use std::collections::HashMap;

use mulberryyoke_model::{Incarnation, Millis, Relation, Report, Statement, Usage};

use super::account::group;
use super::attribution::{Attribution, Target};
use super::collector::Collector;
use super::edge::Edge;
use super::graveyard::Graveyard;
use super::inbound::Inbound;
use super::repair;
use super::told::Told;
use super::totals::Totals;
use super::{Cursor, Instance, Limits};

/// A router's share in the exchange: what its sidecars and children report, what it
/// hears from others, and the fleet's totals.
#[derive(Debug)]
pub struct Ledger {
    pub(super) own: Instance,
    pub(super) limits: Limits,
    pub(super) ticked_at: Millis,
    pub(super) ticks: u64,
    /// Sequence number of the last statement to anyone.
    pub(super) sequence: u64,
    /// Lives that began earlier are counted from the values first heard.
    pub(super) counts_since: Millis,
    pub(super) collector: Collector,
    pub(super) attribution: Attribution,
    pub(super) children: HashMap<Incarnation, Inbound>,
    pub(super) origins: HashMap<Incarnation, Inbound>,
    pub(super) told: Option<Told>,
    pub(super) edges: HashMap<Incarnation, Edge>,
    pub(super) graveyard: Graveyard,
    pub(super) totals: Totals,
}

impl Ledger {
    /// Opens the ledger of a router's life with nothing remembered.
    #[must_use]
    pub fn new(own: Instance, limits: Limits) -> Self {
        Self {
            own,
            limits,
            ticked_at: own.started_at,
            ticks: 0,
            sequence: 0,
            counts_since: own.started_at,
            collector: Collector::default(),
            attribution: Attribution::default(),
            children: HashMap::new(),
            origins: HashMap::new(),
            told: None,
            edges: HashMap::new(),
            graveyard: Graveyard::default(),
            totals: Totals::default(),
        }
    }

    /// Sets the limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Counts a sidecar's report in the totals at once. Returns the sequence number of
    /// the last report counted.
    ///
    /// A sidecar reports to one collector at a time, with sequence numbers that go up
    /// by one over its life, and all its counters to a new collector or over a new link.
    /// What it had charged after the last report counted by the one before is lost to
    /// the totals: the service of one server between two reports.
    pub fn collect(&mut self, sidecar: Incarnation, report: &Report, now: Millis) -> u64 {
        let mut grown = Vec::new();
        let note = |account, tokens| grown.push((account, tokens));
        let counted = self.collector.collect(sidecar, report, now, note);
        self.credit(grown);
        counted
    }

    /// Names the parent, or none for a router that exchanges with peers.
    pub fn set_parent(&mut self, parent: Option<Instance>, now: Millis) {
        let target = parent.map_or(Target::Peers, |life| Target::Parent(life.incarnation));
        let held = self.attribution.target();
        if target == held {
            return;
        }
        let edges = &self.edges;
        let confirmed = |account| match held {
            Target::Peers => {
                let sent = edges.values().map(|edge| edge.peer.confirmed(account));
                sent.max().unwrap_or(0)
            }
            Target::Parent(life) => edges
                .get(&life)
                .map_or(0, |edge| edge.parent.confirmed(account)),
        };
        let left = self.attribution.switch(target, confirmed);
        self.told = parent.map(|life| Told::open(life, now, left));
        if parent.is_none() {
            // What was heard of the peers meanwhile has been told by the parent.
            self.counts_since = now;
            let horizon_ms = self.limits.horizon_ms;
            for origin in self.origins.values_mut() {
                origin.settle(now, horizon_ms, |_, _| ());
            }
        }
    }

    /// The parent, if there is one.
    #[must_use]
    pub fn parent(&self) -> Option<Incarnation> {
        match self.attribution.target() {
            Target::Peers => None,
            Target::Parent(life) => Some(life),
        }
    }

    /// Makes the next statement for a receiver's life. `relation` is what this router
    /// is to the receiver.
    pub fn next_statement(
        &mut self,
        to: Incarnation,
        relation: Relation,
        now: Millis,
    ) -> Statement {
        let age_ms = match relation {
            Relation::Parent => now.saturating_sub(self.as_of(now)),
            Relation::Peer | Relation::Child => self.age_below(now),
        };
        self.sequence += 1;
        let sequence = self.sequence;
        let edge = self.edges.entry(to).or_default();
        edge.used_at = now;
        let (outbound, counters) = match relation {
            Relation::Peer => (&mut edge.peer, self.attribution.counters(Target::Peers)),
            Relation::Child => (
                &mut edge.parent,
                self.attribution.counters(Target::Parent(to)),
            ),
            Relation::Parent => (&mut edge.child, self.totals.counters()),
        };
        let flows = outbound.compose(sequence, counters, now, &self.limits);
        let counted = match relation {
            Relation::Peer => self.origins.get(&to).map_or(0, Inbound::sequence),
            Relation::Child => self.told_by(to).map_or(0, Told::sequence),
            Relation::Parent => self.children.get(&to).map_or(0, Inbound::sequence),
        };
        let mut statement = Statement {
            relation,
            to,
            sequence,
            counted,
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            tallies: group(flows),
            known: Vec::new(),
            extracts: Vec::new(),
        };
        if relation == Relation::Peer {
            self.compare(&mut statement, now);
        }
        statement
    }

    /// Takes in a statement of another router.
    pub fn receive(&mut self, from: Instance, statement: &Statement, now: Millis) {
        if statement.to != self.own.incarnation || from.incarnation == self.own.incarnation {
            return;
        }
        let edge = self.edges.entry(from.incarnation).or_default();
        edge.used_at = now;
        match statement.relation {
            Relation::Peer => {
                edge.peer.acknowledge(statement.counted);
                if !statement.known.is_empty() {
                    edge.known = Some(statement.known.clone());
                }
                self.hear_peer(from, statement, now);
            }
            Relation::Child => {
                edge.child.acknowledge(statement.counted);
                self.hear_child(from, statement, now);
            }
            Relation::Parent => {
                edge.parent.acknowledge(statement.counted);
                self.hear_parent(from, statement, now);
            }
        }
    }

    /// Brings the totals up to date; once each exchange.
    pub fn tick(&mut self, now: Millis) {
        let elapsed_ms = now.saturating_sub(self.ticked_at);
        self.ticked_at = now;
        self.ticks += 1;
        self.settle_children(now);
        self.settle_origins(now);
        self.settle_told(now);
        self.attribution.pace(elapsed_ms);
        self.totals.pace(elapsed_ms);
        if self.ticks.is_multiple_of(repair::INTERVAL) {
            self.origins.values_mut().for_each(Inbound::compare);
            self.forget(now);
        }
    }

    /// Totals that changed since the cursor, which is moved on.
    pub fn totals_since(&self, cursor: &mut Cursor) -> Vec<Usage> {
        self.totals.since(cursor)
    }

    /// Totals to tell a sidecar after its report: those that the report raised, and of
    /// the others up to the bound on entries, those that grew most since they were told
    /// (all the first time). What is left out is told short by no more than the least
    /// growth that is told. A cursor belongs to one link.
    pub fn totals_for_sidecar(&self, sidecar: Incarnation, cursor: &mut Cursor) -> Vec<Usage> {
        let named = self.collector.latest(sidecar);
        self.totals.tell(named, self.limits.max_entries, cursor)
    }
}
