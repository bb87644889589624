//! Measures bandwidth and staleness of the usage exchange by number of routers and
//! customers.
//!
//! Every router serves a fixed number of concurrent requests at a constant rate, with
//! customers drawn uniformly. All routers exchange once per second in random order,
//! without message loss or delay. Bytes are those of encoded statements, without the
//! RPC envelope. Staleness is the difference between a total and its exact value,
//! divided by the customer's rate.
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
const WARM_UP_S: u64 = 40;
const MEASURED_S: u64 = 40;
const DRAIN_S: u64 = 40;
const TOKENS_PER_S: u64 = 30;
const MEAN_TOKENS: u64 = 430;
const BYTES_PER_S: usize = 4_096;
const ENTRY_BYTES: usize = 14;
const MIN_ENTRIES: usize = 32;
const ZONES: usize = 12;
const REGIONS: usize = 3;

/// Routers whose totals are compared with the exact values.
const SAMPLED_ROUTERS: usize = 10;

struct Node {
    instance: Instance,
    ledger: Ledger,
    table: Table,
    running: Vec<(usize, u64)>,
    charged: Vec<u64>,
    sequence: u64,
    bytes: u64,
    exchanges: usize,
    max_entries: usize,
}

struct Simulation {
    now: u64,
    nodes: Vec<Node>,
    exact: Vec<u64>,
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
        Simulation::new(routers, customers, running).measure();
    }
}

fn router(index: usize) -> Router {
    Router {
        name: format!("router-{index}"),
        region: format!("region-{}", index % REGIONS),
        zone: format!("zone-{}", index % ZONES),
    }
}

impl Simulation {
    fn new(routers: usize, customers: usize, running: usize) -> Self {
        let now = 1_000_000;
        let members: Vec<Router> = (0..routers).map(router).collect();
        let nodes = (0..routers).map(|index| {
            let instance = Instance {
                incarnation: Incarnation(index as u64 + 1),
                started_at: now,
            };
            let mut table = Table::new(router(index), member::Limits::default());
            table.set_listed(members.clone(), now);
            Node {
                instance,
                ledger: Ledger::new(instance, Limits::default()),
                table,
                running: vec![(0, 0); running],
                charged: vec![0; customers],
                sequence: 0,
                bytes: 0,
                exchanges: 0,
                max_entries: 0,
            }
        });
        Self {
            now,
            nodes: nodes.collect(),
            exact: vec![0; customers],
            rng: ChaCha8Rng::seed_from_u64(SEED),
        }
    }

    fn measure(&mut self) {
        (0..WARM_UP_S).for_each(|_| self.step(true));
        let before: Vec<u64> = self.nodes.iter().map(|node| node.bytes).collect();
        let start = self.exact.clone();
        let mut samples = Vec::new();
        for _ in 0..MEASURED_S {
            self.step(true);
            samples.push((self.exact.clone(), self.totals()));
        }
        let bytes = self.nodes.iter().zip(before);
        let bytes: Vec<u64> = bytes
            .map(|(node, before)| (node.bytes - before) / MEASURED_S)
            .collect();
        let growth = self.exact.iter().zip(&start);
        let rates: Vec<f64> = growth
            .map(|(end, start)| to_f64(end - start) / to_f64(MEASURED_S))
            .collect();
        (0..DRAIN_S).for_each(|_| self.step(false));
        // Every router counts from its own baseline; that offset is constant.
        let end = self.totals();
        let mut staleness = Vec::new();
        for (exact, totals) in &samples {
            for (node, totals) in totals.iter().enumerate() {
                for customer in 0..exact.len() {
                    let offset = to_f64(self.exact[customer]) - to_f64(end[node][customer]);
                    let lag = to_f64(exact[customer]) - to_f64(totals[customer]) - offset;
                    staleness.push(lag.abs() / rates[customer]);
                }
            }
        }
        staleness.sort_by(f64::total_cmp);
        let quantile = |percent: usize| staleness[(staleness.len() - 1) * percent / 100];
        let entries = self.nodes.iter().map(|node| node.max_entries);
        println!(
            "{:7} {:9} {:7} {:>21} {:>5} {:>18.1} {:.1} {:.1} {:>8}",
            self.nodes.len(),
            self.exact.len(),
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
        let step = (self.nodes.len() / SAMPLED_ROUTERS).max(1);
        let sampled = self.nodes.iter().step_by(step);
        sampled
            .map(|node| {
                let mut totals = vec![0; self.exact.len()];
                for usage in node.ledger.totals_since(&mut Cursor::default()) {
                    totals[usage.customer.0 as usize] = usage.tokens;
                }
                totals
            })
            .collect()
    }

    fn step(&mut self, is_serving: bool) {
        self.now += 1_000;
        if is_serving {
            (0..self.nodes.len()).for_each(|index| self.serve(index));
        }
        let mut order: Vec<usize> = (0..self.nodes.len()).collect();
        order.shuffle(&mut self.rng);
        for index in order {
            self.exchange(index);
        }
        for node in &mut self.nodes {
            node.max_entries = max_entries(std::mem::take(&mut node.exchanges));
            node.ledger.set_limits(Limits {
                max_entries: node.max_entries,
                ..Limits::default()
            });
            node.ledger.tick(self.now);
        }
    }

    fn serve(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        for (customer, left) in &mut node.running {
            if *left == 0 {
                *customer = self.rng.random_range(0..self.exact.len());
                *left = self.rng.random_range(1..2 * MEAN_TOKENS);
            }
            let tokens = TOKENS_PER_S.min(*left);
            *left -= tokens;
            node.charged[*customer] += tokens;
            self.exact[*customer] += tokens;
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
        let sidecar = Incarnation(node.instance.incarnation.0 << 32);
        node.ledger.collect(sidecar, &report, self.now);
    }

    fn exchange(&mut self, index: usize) {
        let neighbors = self.nodes[index].table.neighbors(self.now);
        if let Some(parent) = &neighbors.parent {
            let parent = position(parent);
            let instance = self.nodes[parent].instance;
            self.nodes[index]
                .ledger
                .set_parent(Some(instance), self.now);
            self.call(index, parent, Relation::Child);
            return;
        }
        self.nodes[index].ledger.set_parent(None, self.now);
        // Of two peers, the one with the smaller name initiates the call.
        let own = router(index).name;
        for peer in neighbors.peers.iter().filter(|peer| own < **peer) {
            self.call(index, position(peer), Relation::Peer);
        }
    }

    fn call(&mut self, caller: usize, other: usize, relation: Relation) {
        let response = match relation {
            Relation::Child => Relation::Parent,
            _ => Relation::Peer,
        };
        let (from, to) = (self.nodes[caller].instance, self.nodes[other].instance);
        let request = self.nodes[caller]
            .ledger
            .next_statement(to.incarnation, relation, self.now);
        self.nodes[other].ledger.receive(from, &request, self.now);
        let response =
            self.nodes[other]
                .ledger
                .next_statement(from.incarnation, response, self.now);
        self.nodes[caller].ledger.receive(to, &response, self.now);
        for node in [caller, other] {
            self.nodes[node].exchanges += 1;
            self.nodes[node].bytes += size(&request) + size(&response);
        }
    }
}

fn max_entries(exchanges: usize) -> usize {
    (BYTES_PER_S / (exchanges.max(1) * ENTRY_BYTES)).max(MIN_ENTRIES)
}

fn size(statement: &Statement) -> u64 {
    let size = bincode::DefaultOptions::new().serialized_size(statement);
    size.expect("statement is serializable")
}

fn position(name: &str) -> usize {
    let (_, index) = name
        .split_once('-')
        .expect("router name ends with a number");
    index.parse().expect("router name ends with a number")
}

#[expect(clippy::cast_precision_loss, reason = "approximate values for display")]
fn to_f64(value: u64) -> f64 {
    value as f64
}
