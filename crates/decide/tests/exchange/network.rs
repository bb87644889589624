//! Simulated network of ledgers with lost, duplicated and delayed messages.

use std::collections::BTreeMap;

use mulberryyoke_decide::exchange::{Cursor, Instance, Ledger, Limits};
use mulberryyoke_model::{CustomerId, Incarnation, PoolId, Relation, Report, Statement, Usage};

/// Time between two ticks, in milliseconds.
pub const TICK_MS: u64 = 1_000;

/// Pool of all usage.
pub const POOL: PoolId = PoolId(1);

/// A router and the sidecar that reports to it.
pub struct Node {
    pub instance: Instance,
    pub ledger: Ledger,
    pub totals: BTreeMap<u32, u64>,
    cursor: Cursor,
    sidecar: Incarnation,
    sequence: u64,
    charged: BTreeMap<u32, u64>,
    /// `charged` when this instance started.
    charged_at_start: BTreeMap<u32, u64>,
}

/// Delivery of the messages of one exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    Complete,
    RequestLost,
    ResponseLost,
    Duplicated,
    Delayed,
}

pub struct Network {
    pub now: u64,
    pub nodes: Vec<Node>,
    /// Tokens credited in running instances, by customer.
    pub credited: BTreeMap<u32, u64>,
    /// Tokens credited in ended instances, by customer.
    pub ended: BTreeMap<u32, u64>,
    limits: Limits,
    incarnations: u64,
    delayed: Vec<(usize, Instance, Statement)>,
}

impl Network {
    pub fn new(count: usize, limits: Limits) -> Self {
        let mut network = Self {
            now: 1_000_000,
            nodes: Vec::new(),
            credited: BTreeMap::new(),
            ended: BTreeMap::new(),
            limits,
            incarnations: 0,
            delayed: Vec::new(),
        };
        for index in 0..count {
            let sidecar = Incarnation(1_000 + index as u64);
            let node = network.node(sidecar, 0, BTreeMap::new());
            network.nodes.push(node);
        }
        network
    }

    fn node(&mut self, sidecar: Incarnation, sequence: u64, charged: BTreeMap<u32, u64>) -> Node {
        self.incarnations += 1;
        let instance = Instance {
            incarnation: Incarnation(self.incarnations),
            started_at: self.now,
        };
        Node {
            instance,
            ledger: Ledger::new(instance, self.limits),
            totals: BTreeMap::new(),
            cursor: Cursor::default(),
            sidecar,
            sequence,
            charged_at_start: charged.clone(),
            charged,
        }
    }

    /// Restarts a router without state; its sidecar reports to the new instance.
    pub fn restart(&mut self, index: usize) {
        let old = &self.nodes[index];
        let (sidecar, sequence) = (old.sidecar, old.sequence + 1);
        let charged = old.charged.clone();
        for (customer, tokens) in &charged {
            let at_start = old.charged_at_start.get(customer).copied().unwrap_or(0);
            let own = tokens - at_start;
            *self.ended.entry(*customer).or_default() += own;
            *self.credited.get_mut(customer).unwrap() -= own;
        }
        let node = self.node(sidecar, sequence, charged);
        self.nodes[index] = node;
        self.report(index, &[]);
    }

    pub fn credit(&mut self, index: usize, customer: u32, tokens: u64) {
        *self.nodes[index].charged.entry(customer).or_default() += tokens;
        *self.credited.entry(customer).or_default() += tokens;
        self.report(index, &[customer]);
    }

    fn report(&mut self, index: usize, customers: &[u32]) {
        let now = self.now;
        let node = &mut self.nodes[index];
        node.sequence += 1;
        let report_all = customers.is_empty();
        let reported = node
            .charged
            .iter()
            .filter(|(c, _)| report_all || customers.contains(c));
        let usage = reported.map(|(customer, tokens)| Usage {
            pool: POOL,
            customer: CustomerId(*customer),
            tokens: *tokens,
        });
        let report = Report {
            sequence: node.sequence,
            usage: usage.collect(),
        };
        node.ledger.collect(node.sidecar, &report, now);
        // A duplicate report must have no effect.
        node.ledger.collect(node.sidecar, &report, now);
    }

    /// Exchanges statements between two peers.
    pub fn exchange(&mut self, caller: usize, other: usize, delivery: Delivery) {
        self.call(caller, other, Relation::Peer, delivery);
    }

    pub fn call(&mut self, caller: usize, other: usize, relation: Relation, delivery: Delivery) {
        let response_relation = match relation {
            Relation::Peer => Relation::Peer,
            Relation::Child => Relation::Parent,
            Relation::Parent => Relation::Child,
        };
        let (from, to) = (self.nodes[caller].instance, self.nodes[other].instance);
        let now = self.now;
        let ledger = &mut self.nodes[caller].ledger;
        let request = ledger.next_statement(to.incarnation, relation, now);
        if delivery == Delivery::RequestLost {
            return;
        }
        if delivery == Delivery::Delayed {
            self.delayed.push((other, from, request));
            return;
        }
        if delivery == Delivery::Duplicated {
            self.delayed.push((other, from, request.clone()));
        }
        let ledger = &mut self.nodes[other].ledger;
        ledger.receive(from, &request, now);
        let response = ledger.next_statement(from.incarnation, response_relation, now);
        if delivery != Delivery::ResponseLost {
            self.nodes[caller].ledger.receive(to, &response, now);
        }
        self.read_totals(caller);
        self.read_totals(other);
    }

    /// Delivers the delayed and duplicated requests, last one first.
    pub fn deliver_delayed(&mut self) {
        while let Some((other, from, request)) = self.delayed.pop() {
            self.nodes[other].ledger.receive(from, &request, self.now);
            self.read_totals(other);
        }
    }

    pub fn tick(&mut self) {
        self.now += TICK_MS;
        for index in 0..self.nodes.len() {
            self.nodes[index].ledger.tick(self.now);
            self.read_totals(index);
        }
    }

    /// Runs rounds in which every pair of nodes exchanges, without new usage.
    pub fn exchange_all(&mut self, rounds: usize) {
        for _ in 0..rounds {
            for caller in 0..self.nodes.len() {
                for other in 0..caller {
                    self.exchange(caller, other, Delivery::Complete);
                }
            }
            self.tick();
        }
    }

    /// Reads the totals of a node, which must not decrease.
    pub fn read_totals(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        for usage in node.ledger.totals_since(&mut node.cursor) {
            let total = node.totals.entry(usage.customer.0).or_default();
            assert!(usage.tokens >= *total, "a total decreased");
            *total = usage.tokens;
        }
    }
}
