//! A network of ledgers whose messages can be lost, repeated and delayed.

use std::collections::BTreeMap;

use mulberryyoke_decide::exchange::{Cursor, Instance, Ledger, Limits};
use mulberryyoke_model::{CustomerId, Incarnation, PoolId, Relation, Report, Statement, Usage};

/// Time between two ticks, in milliseconds.
pub const TICK_MS: u64 = 1_000;

/// The pool of all usage.
pub const POOL: PoolId = PoolId(1);

/// A router and the one sidecar that reports to it.
pub struct Node {
    pub life: Instance,
    pub ledger: Ledger,
    pub totals: BTreeMap<u32, u64>,
    cursor: Cursor,
    sidecar: Incarnation,
    sequence: u64,
    charged: BTreeMap<u32, u64>,
    /// `charged` as this life began.
    before: BTreeMap<u32, u64>,
}

/// What becomes of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Whole,
    RequestLost,
    AnswerLost,
    Repeated,
    Delayed,
}

pub struct Net {
    pub now: u64,
    pub nodes: Vec<Node>,
    /// Tokens credited at lives that go on, by customer.
    pub credited: BTreeMap<u32, u64>,
    /// Tokens credited at lives that have ended.
    pub ended: BTreeMap<u32, u64>,
    limits: Limits,
    lives: u64,
    late: Vec<(usize, Instance, Statement)>,
}

impl Net {
    pub fn open(count: usize, limits: Limits) -> Self {
        let mut net = Self {
            now: 1_000_000,
            nodes: Vec::new(),
            credited: BTreeMap::new(),
            ended: BTreeMap::new(),
            limits,
            lives: 0,
            late: Vec::new(),
        };
        for index in 0..count {
            let sidecar = Incarnation(1_000 + index as u64);
            let node = net.node(sidecar, 0, BTreeMap::new());
            net.nodes.push(node);
        }
        net
    }

    fn node(&mut self, sidecar: Incarnation, sequence: u64, charged: BTreeMap<u32, u64>) -> Node {
        self.lives += 1;
        let life = Instance {
            incarnation: Incarnation(self.lives),
            started_at: self.now,
        };
        Node {
            life,
            ledger: Ledger::new(life, self.limits),
            totals: BTreeMap::new(),
            cursor: Cursor::default(),
            sidecar,
            sequence,
            before: charged.clone(),
            charged,
        }
    }

    /// A router forgets everything; its sidecar reports to the new life.
    pub fn restart(&mut self, index: usize) {
        let old = &self.nodes[index];
        let (sidecar, sequence) = (old.sidecar, old.sequence + 1);
        let charged = old.charged.clone();
        for (customer, tokens) in &charged {
            let before = old.before.get(customer).copied().unwrap_or(0);
            let own = tokens - before;
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
        let first = customers.is_empty();
        let due = node
            .charged
            .iter()
            .filter(|(c, _)| first || customers.contains(c));
        let usage = due.map(|(customer, tokens)| Usage {
            pool: POOL,
            customer: CustomerId(*customer),
            tokens: *tokens,
        });
        let report = Report {
            sequence: node.sequence,
            usage: usage.collect(),
        };
        node.ledger.collect(node.sidecar, &report, now);
        // A repeated report changes nothing.
        node.ledger.collect(node.sidecar, &report, now);
    }

    /// One calls the other as a peer.
    pub fn exchange(&mut self, caller: usize, other: usize, fate: Fate) {
        self.call(caller, other, Relation::Peer, fate);
    }

    pub fn call(&mut self, caller: usize, other: usize, relation: Relation, fate: Fate) {
        let answer_relation = match relation {
            Relation::Peer => Relation::Peer,
            Relation::Child => Relation::Parent,
            Relation::Parent => Relation::Child,
        };
        let (from, to) = (self.nodes[caller].life, self.nodes[other].life);
        let now = self.now;
        let ledger = &mut self.nodes[caller].ledger;
        let request = ledger.next_statement(to.incarnation, relation, now);
        if fate == Fate::RequestLost {
            return;
        }
        if fate == Fate::Delayed {
            self.late.push((other, from, request));
            return;
        }
        if fate == Fate::Repeated {
            self.late.push((other, from, request.clone()));
        }
        let ledger = &mut self.nodes[other].ledger;
        ledger.receive(from, &request, now);
        let answer = ledger.next_statement(from.incarnation, answer_relation, now);
        if fate != Fate::AnswerLost {
            self.nodes[caller].ledger.receive(to, &answer, now);
        }
        self.observe(caller);
        self.observe(other);
    }

    /// Delivers what was delayed or repeated, the latest first.
    pub fn deliver_late(&mut self) {
        while let Some((other, from, request)) = self.late.pop() {
            self.nodes[other].ledger.receive(from, &request, self.now);
            self.observe(other);
        }
    }

    pub fn tick(&mut self) {
        self.now += TICK_MS;
        for index in 0..self.nodes.len() {
            self.nodes[index].ledger.tick(self.now);
            self.observe(index);
        }
    }

    /// Every pair exchanges for a while and nothing else happens.
    pub fn quiet(&mut self, rounds: usize) {
        for _ in 0..rounds {
            for caller in 0..self.nodes.len() {
                for other in 0..caller {
                    self.exchange(caller, other, Fate::Whole);
                }
            }
            self.tick();
        }
    }

    /// Reads the totals of a node; they must not go back.
    pub fn observe(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        for usage in node.ledger.totals_since(&mut node.cursor) {
            let held = node.totals.entry(usage.customer.0).or_default();
            assert!(usage.tokens >= *held, "a total went back");
            *held = usage.tokens;
        }
    }
}
