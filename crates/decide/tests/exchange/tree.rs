//! Routers in a tree by region and zone.

use std::collections::{BTreeMap, BTreeSet};

use googletest::prelude::*;
use mulberryyoke_decide::exchange::Limits as ExchangeLimits;
use mulberryyoke_decide::member::{Limits, Neighbors, Router, Table};
use mulberryyoke_model::Relation;

use crate::network::{Delivery, Network, TICK_MS};

const ROUTERS: usize = 40;
const CUSTOMER: u32 = 7;

/// Rounds until a dead router is suspect and the tree is repaired.
const REPAIR_ROUNDS: usize = 8;

/// Rounds until a token counted by one router is known to all.
const PROPAGATION_ROUNDS: usize = 8;

fn router(index: usize) -> Router {
    Router {
        name: format!("r{index}"),
        region: format!("region{}", index % 2),
        zone: format!("zone{}", index % 6),
    }
}

struct Fleet {
    network: Network,
    tables: Vec<Table>,
    dead: BTreeSet<usize>,
}

impl Fleet {
    fn new() -> Self {
        let limits = Limits {
            max_full_mesh: 4,
            fanout: 3,
            suspect_ms: 2 * TICK_MS,
            ..Limits::default()
        };
        let network = Network::new(ROUTERS, ExchangeLimits::default());
        let routers: Vec<Router> = (0..ROUTERS).map(router).collect();
        let table = |index| {
            let mut table = Table::new(router(index), limits);
            table.set_listed(routers.clone(), network.now);
            table
        };
        Self {
            tables: (0..ROUTERS).map(table).collect(),
            network,
            dead: BTreeSet::new(),
        }
    }

    fn neighbors(&self, index: usize) -> Neighbors {
        self.tables[index].neighbors(self.network.now)
    }

    fn index(name: &str) -> usize {
        name[1..].parse().unwrap()
    }

    fn round(&mut self) {
        for index in 0..ROUTERS {
            if self.dead.contains(&index) {
                continue;
            }
            let neighbors = self.neighbors(index);
            if let Some(parent) = neighbors.parent {
                self.call(index, Self::index(&parent), Relation::Child);
                continue;
            }
            let now = self.network.now;
            self.network.nodes[index].ledger.set_parent(None, now);
            for peer in neighbors.peers {
                self.call(index, Self::index(&peer), Relation::Peer);
            }
        }
        self.network.tick();
    }

    fn call(&mut self, caller: usize, other: usize, relation: Relation) {
        let now = self.network.now;
        let name = router(other).name;
        if self.dead.contains(&other) {
            self.tables[caller].record_failure(&name, now);
            return;
        }
        self.tables[caller].record_contact(&name, now);
        if relation == Relation::Child {
            let instance = self.network.nodes[other].instance;
            self.network.nodes[caller]
                .ledger
                .set_parent(Some(instance), now);
        }
        self.network
            .call(caller, other, relation, Delivery::Complete);
    }

    fn rounds(&mut self, count: usize) {
        for _ in 0..count {
            self.round();
        }
    }

    fn credit_all(&mut self) -> u64 {
        let mut credited = 0;
        for index in 0..ROUTERS {
            if !self.dead.contains(&index) {
                self.network.credit(index, CUSTOMER, 10 + index as u64);
                credited += 10 + index as u64;
            }
        }
        credited
    }

    fn totals(&self) -> BTreeMap<usize, u64> {
        let alive = (0..ROUTERS).filter(|index| !self.dead.contains(index));
        alive
            .map(|index| {
                let total = self.network.nodes[index].totals.get(&CUSTOMER);
                (index, total.copied().unwrap_or(0))
            })
            .collect()
    }

    fn expect_growth(&self, before: &BTreeMap<usize, u64>, expected: u64) {
        for (index, total) in self.totals() {
            let growth = total - before.get(&index).copied().unwrap_or(0);
            expect_that!(growth, eq(expected), "router {index}");
        }
    }
}

#[googletest::test]
fn positions_agree_and_give_few_roots() {
    let fleet = Fleet::new();
    let neighbors: Vec<Neighbors> = (0..ROUTERS).map(|index| fleet.neighbors(index)).collect();
    let roots: Vec<&Neighbors> = neighbors
        .iter()
        .filter(|neighbors| neighbors.parent.is_none())
        .collect();
    expect_that!(roots.len(), eq(2));
    expect_true!(roots.iter().all(|neighbors| neighbors.peers.len() == 1));
    let mut children = BTreeMap::new();
    for parent in neighbors
        .iter()
        .filter_map(|neighbors| neighbors.parent.as_ref())
    {
        *children.entry(parent).or_insert(0) += 1;
    }
    // Up to three in its zone and three roots of other zones.
    expect_true!(children.values().all(|count| *count <= 6));
}

#[googletest::test]
fn totals_reach_every_router() {
    let mut fleet = Fleet::new();
    fleet.rounds(PROPAGATION_ROUNDS);
    let credited = fleet.credit_all();
    fleet.rounds(PROPAGATION_ROUNDS);
    fleet.expect_growth(&BTreeMap::new(), credited);
}

#[googletest::test]
fn no_token_is_counted_twice_when_a_root_dies() {
    let mut fleet = Fleet::new();
    fleet.credit_all();
    fleet.rounds(PROPAGATION_ROUNDS);
    let mut roots = (0..ROUTERS).filter(|index| fleet.neighbors(*index).parent.is_none());
    let (dying, surviving) = (roots.next().unwrap(), roots.next().unwrap());
    let before = fleet.totals();
    fleet.dead.insert(dying);
    let mut credited = 0;
    for _ in 0..3 {
        credited += fleet.credit_all();
        fleet.round();
    }
    fleet.rounds(REPAIR_ROUNDS + PROPAGATION_ROUNDS);
    // A router with a new parent omits tokens that others served before the parent's
    // first statement.
    for (index, total) in fleet.totals() {
        expect_that!(total - before[&index], le(credited));
    }
    expect_that!(
        fleet.totals()[&surviving] - before[&surviving],
        eq(credited)
    );
    let before = fleet.totals();
    let credited = fleet.credit_all();
    fleet.rounds(PROPAGATION_ROUNDS);
    fleet.expect_growth(&before, credited);
}

#[googletest::test]
fn totals_grow_equally_after_a_parent_restarts() {
    let mut fleet = Fleet::new();
    fleet.credit_all();
    fleet.rounds(PROPAGATION_ROUNDS);
    let parents = (0..ROUTERS).filter_map(|index| fleet.neighbors(index).parent);
    let parents: BTreeSet<usize> = parents.map(|name| Fleet::index(&name)).collect();
    for parent in parents {
        fleet.network.restart(parent);
        fleet.rounds(PROPAGATION_ROUNDS);
        let before = fleet.totals();
        let credited = fleet.credit_all();
        fleet.rounds(PROPAGATION_ROUNDS);
        fleet.expect_growth(&before, credited);
    }
}
