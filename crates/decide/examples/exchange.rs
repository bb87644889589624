//! Bytes and staleness of the usage exchange, by numbers of routers and customers.
//!
//! Every router serves a fixed number of requests at a steady pace, of customers drawn
//! alike. All routers exchange once a second, in
//! a random order; nothing is lost and nothing takes time. Bytes are those of encoded
//! statements, without the envelope of a call. Staleness is the difference between a
//! total and the truth, divided by the customer's pace.
//!
//! `cargo run --release -p mulberryyoke-decide --example exchange`

use bincode::Options;
use mulberryyoke_decide::exchange::{Cursor, Instance, Ledger, Limits};
use mulberryyoke_decide::member::{self, Router, Table};
use mulberryyoke_model::{CustomerId, Incarnation, PoolId, Relation, Report, Statement, Usage};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 1;
const WARMING_S: u64 = 40;
const MEASURED_S: u64 = 40;
const QUIET_S: u64 = 40;
const PACE: u64 = 30;
const MEAN_TOKENS: u64 = 430;
const BUDGET: usize = 4_096;
const ENTRY_BYTES: usize = 14;
const FEWEST_ENTRIES: usize = 32;
const ZONES: usize = 12;
const REGIONS: usize = 3;

/// Routers whose totals are compared with the truth.
const SAMPLES: usize = 10;

struct Node {
    life: Instance,
    ledger: Ledger,
    table: Table,
    running: Vec<(usize, u64)>,
    charged: Vec<u64>,
    sequence: u64,
    bytes: u64,
    others: usize,
    entries: usize,
}

struct Run {
    now: u64,
    nodes: Vec<Node>,
    truth: Vec<u64>,
    rng: ChaCha8Rng,
}

fn main() {
    println!(
        "routers customers running bytes/s/router: mean max  staleness s: p50 p95 max  entries"
    );
    for (routers, customers, running) in [
        (4, 32, 32),
        (24, 32, 32),
        (24, 620, 136),
        (120, 620, 136),
        (700, 620, 136),
    ] {
        Run::open(routers, customers, running).measure();
    }
}

fn place(index: usize) -> Router {
    Router {
        name: format!("router-{index}"),
        region: format!("region-{}", index % REGIONS),
        zone: format!("zone-{}", index % ZONES),
    }
}

impl Run {
    fn open(routers: usize, customers: usize, running: usize) -> Self {
        let now = 1_000_000;
        let places: Vec<Router> = (0..routers).map(place).collect();
        let nodes = (0..routers).map(|index| {
            let life = Instance {
                incarnation: Incarnation(index as u64 + 1),
                started_at: now,
            };
            let mut table = Table::new(place(index), member::Limits::default());
            table.set_listed(places.clone(), now);
            Node {
                life,
                ledger: Ledger::new(life, Limits::default()),
                table,
                running: vec![(0, 0); running],
                charged: vec![0; customers],
                sequence: 0,
                bytes: 0,
                others: 0,
                entries: 0,
            }
        });
        Self {
            now,
            nodes: nodes.collect(),
            truth: vec![0; customers],
            rng: ChaCha8Rng::seed_from_u64(SEED),
        }
    }

    fn measure(&mut self) {
        (0..WARMING_S).for_each(|_| self.second(true));
        let before: Vec<u64> = self.nodes.iter().map(|node| node.bytes).collect();
        let start = self.truth.clone();
        let mut samples = Vec::new();
        for _ in 0..MEASURED_S {
            self.second(true);
            samples.push((self.truth.clone(), self.totals()));
        }
        let bytes = self.nodes.iter().zip(before);
        let bytes: Vec<u64> = bytes
            .map(|(node, before)| (node.bytes - before) / MEASURED_S)
            .collect();
        let grown = self.truth.iter().zip(&start);
        let paces: Vec<f64> = grown
            .map(|(end, start)| to_f64(end - start) / to_f64(MEASURED_S))
            .collect();
        (0..QUIET_S).for_each(|_| self.second(false));
        // Every router counts from where it began; that difference stays.
        let end = self.totals();
        let mut short = Vec::new();
        for (truth, totals) in &samples {
            for (node, totals) in totals.iter().enumerate() {
                for customer in 0..truth.len() {
                    let missing = to_f64(self.truth[customer]) - to_f64(end[node][customer]);
                    let short_by = to_f64(truth[customer]) - to_f64(totals[customer]) - missing;
                    short.push(short_by.abs() / paces[customer]);
                }
            }
        }
        short.sort_by(f64::total_cmp);
        let quantile = |part: usize| short[(short.len() - 1) * part / 100];
        let entries = self.nodes.iter().map(|node| node.entries);
        println!(
            "{:7} {:9} {:7} {:>21} {:>5} {:>18.1} {:.1} {:.1} {:>8}",
            self.nodes.len(),
            self.truth.len(),
            self.nodes[0].running.len(),
            bytes.iter().sum::<u64>() / bytes.len() as u64,
            bytes.iter().max().unwrap(),
            quantile(50),
            quantile(95),
            quantile(100),
            entries.min().unwrap(),
        );
    }

    fn totals(&self) -> Vec<Vec<u64>> {
        let step = (self.nodes.len() / SAMPLES).max(1);
        let sampled = self.nodes.iter().step_by(step);
        sampled
            .map(|node| {
                let mut totals = vec![0; self.truth.len()];
                for usage in node.ledger.totals_since(&mut Cursor::default()) {
                    totals[usage.customer.0 as usize] = usage.tokens;
                }
                totals
            })
            .collect()
    }

    fn second(&mut self, busy: bool) {
        self.now += 1_000;
        if busy {
            (0..self.nodes.len()).for_each(|index| self.serve(index));
        }
        let mut order: Vec<usize> = (0..self.nodes.len()).collect();
        order.shuffle(&mut self.rng);
        for index in order {
            self.exchange(index);
        }
        for node in &mut self.nodes {
            node.entries = entries(std::mem::take(&mut node.others));
            node.ledger.set_limits(Limits {
                max_entries: node.entries,
                ..Limits::default()
            });
            node.ledger.tick(self.now);
        }
    }

    fn serve(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        for (customer, left) in &mut node.running {
            if *left == 0 {
                *customer = self.rng.random_range(0..self.truth.len());
                *left = self.rng.random_range(1..2 * MEAN_TOKENS);
            }
            let tokens = PACE.min(*left);
            *left -= tokens;
            node.charged[*customer] += tokens;
            self.truth[*customer] += tokens;
        }
        node.sequence += 1;
        let usage = node.charged.iter().enumerate();
        let usage = usage.map(|(customer, tokens)| Usage {
            pool: PoolId(1),
            customer: CustomerId(u32::try_from(customer).unwrap()),
            tokens: *tokens,
        });
        let report = Report {
            sequence: node.sequence,
            usage: usage.collect(),
        };
        let sidecar = Incarnation(node.life.incarnation.0 << 32);
        node.ledger.collect(sidecar, &report, self.now);
    }

    fn exchange(&mut self, index: usize) {
        let neighbors = self.nodes[index].table.neighbors(self.now);
        if let Some(parent) = &neighbors.parent {
            let parent = position(parent);
            let life = self.nodes[parent].life;
            self.nodes[index].ledger.set_parent(Some(life), self.now);
            self.call(index, parent, Relation::Child);
            return;
        }
        self.nodes[index].ledger.set_parent(None, self.now);
        // Of two peers the one with the lesser name calls.
        let own = place(index).name;
        for peer in neighbors.peers.iter().filter(|peer| own < **peer) {
            self.call(index, position(peer), Relation::Peer);
        }
    }

    fn call(&mut self, caller: usize, other: usize, relation: Relation) {
        let answer = match relation {
            Relation::Child => Relation::Parent,
            _ => Relation::Peer,
        };
        let (from, to) = (self.nodes[caller].life, self.nodes[other].life);
        let request = self.nodes[caller]
            .ledger
            .next_statement(to.incarnation, relation, self.now);
        self.nodes[other].ledger.receive(from, &request, self.now);
        let answer = self.nodes[other]
            .ledger
            .next_statement(from.incarnation, answer, self.now);
        self.nodes[caller].ledger.receive(to, &answer, self.now);
        for node in [caller, other] {
            self.nodes[node].others += 1;
            self.nodes[node].bytes += size(&request) + size(&answer);
        }
    }
}

fn entries(others: usize) -> usize {
    (BUDGET / (others.max(1) * ENTRY_BYTES)).max(FEWEST_ENTRIES)
}

fn size(statement: &Statement) -> u64 {
    let size = bincode::DefaultOptions::new().serialized_size(statement);
    size.expect("a statement can be encoded")
}

fn position(name: &str) -> usize {
    let (_, index) = name.split_once('-').expect("a name has a number");
    index.parse().expect("a name has a number")
}

#[expect(clippy::cast_precision_loss, reason = "figures for people")]
fn to_f64(value: u64) -> f64 {
    value as f64
}
