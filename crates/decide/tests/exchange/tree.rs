//! Many routers, in a tree by region and zone.

use std::collections::{BTreeMap, BTreeSet};

use googletest::prelude::*;
use mulberryyoke_decide::exchange::Limits as ExchangeLimits;
use mulberryyoke_decide::member::{Limits, Neighbors, Router, Table};
use mulberryyoke_model::Relation;

use crate::net::{Fate, Net, TICK_MS};

const ROUTERS: usize = 40;
const CUSTOMER: u32 = 7;

/// Rounds in which a dead router becomes suspect and the tree is mended.
const MENDING: usize = 8;

/// Rounds in which a token passes from any router to any other.
const PASSING: usize = 8;

fn place(index: usize) -> Router {
    Router {
        name: format!("r{index}"),
        region: format!("region{}", index % 2),
        zone: format!("zone{}", index % 6),
    }
}

struct Fleet {
    net: Net,
    tables: Vec<Table>,
    dead: BTreeSet<usize>,
}

impl Fleet {
    fn open() -> Self {
        let limits = Limits {
            max_full_mesh: 4,
            fanout: 3,
            suspect_ms: 2 * TICK_MS,
            ..Limits::default()
        };
        let net = Net::open(ROUTERS, ExchangeLimits::default());
        let places: Vec<Router> = (0..ROUTERS).map(place).collect();
        let table = |index| {
            let mut table = Table::new(place(index), limits);
            table.set_listed(places.clone(), net.now);
            table
        };
        Self {
            tables: (0..ROUTERS).map(table).collect(),
            net,
            dead: BTreeSet::new(),
        }
    }

    fn neighbors(&self, index: usize) -> Neighbors {
        self.tables[index].neighbors(self.net.now)
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
            let now = self.net.now;
            self.net.nodes[index].ledger.set_parent(None, now);
            for peer in neighbors.peers {
                self.call(index, Self::index(&peer), Relation::Peer);
            }
        }
        self.net.tick();
    }

    fn call(&mut self, caller: usize, other: usize, relation: Relation) {
        let now = self.net.now;
        let name = place(other).name;
        if self.dead.contains(&other) {
            self.tables[caller].record_failure(&name, now);
            return;
        }
        self.tables[caller].record_contact(&name, now);
        if relation == Relation::Child {
            let life = self.net.nodes[other].life;
            self.net.nodes[caller].ledger.set_parent(Some(life), now);
        }
        self.net.call(caller, other, relation, Fate::Whole);
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
                self.net.credit(index, CUSTOMER, 10 + index as u64);
                credited += 10 + index as u64;
            }
        }
        credited
    }

    fn totals(&self) -> BTreeMap<usize, u64> {
        let living = (0..ROUTERS).filter(|index| !self.dead.contains(index));
        living
            .map(|index| {
                let total = self.net.nodes[index].totals.get(&CUSTOMER);
                (index, total.copied().unwrap_or(0))
            })
            .collect()
    }

    fn expect_growth(&self, before: &BTreeMap<usize, u64>, expected: u64) {
        for (index, total) in self.totals() {
            let grown = total - before.get(&index).copied().unwrap_or(0);
            expect_that!(grown, eq(expected), "router {index}");
        }
    }
}

#[googletest::test]
fn positions_agree_and_lead_to_few_roots() {
    let fleet = Fleet::open();
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
    // Three of its zone, and three roots of other zones.
    expect_true!(children.values().all(|count| *count <= 6));
}

#[googletest::test]
fn every_router_learns_every_total() {
    let mut fleet = Fleet::open();
    fleet.rounds(PASSING);
    let credited = fleet.credit_all();
    fleet.rounds(PASSING);
    fleet.expect_growth(&BTreeMap::new(), credited);
}

#[googletest::test]
fn nothing_is_counted_twice_when_a_root_dies() {
    let mut fleet = Fleet::open();
    fleet.credit_all();
    fleet.rounds(PASSING);
    let mut roots = (0..ROUTERS).filter(|index| fleet.neighbors(*index).parent.is_none());
    let (dying, staying) = (roots.next().unwrap(), roots.next().unwrap());
    let before = fleet.totals();
    fleet.dead.insert(dying);
    let mut credited = 0;
    for _ in 0..3 {
        credited += fleet.credit_all();
        fleet.round();
    }
    fleet.rounds(MENDING + PASSING);
    // Who has a new parent does not count what others served before its first word.
    for (index, total) in fleet.totals() {
        expect_that!(total - before[&index], le(credited));
    }
    expect_that!(fleet.totals()[&staying] - before[&staying], eq(credited));
    let before = fleet.totals();
    let credited = fleet.credit_all();
    fleet.rounds(PASSING);
    fleet.expect_growth(&before, credited);
}

#[googletest::test]
fn totals_grow_alike_after_a_parent_restarted() {
    let mut fleet = Fleet::open();
    fleet.credit_all();
    fleet.rounds(PASSING);
    let parents = (0..ROUTERS).filter_map(|index| fleet.neighbors(index).parent);
    let parents: BTreeSet<usize> = parents.map(|name| Fleet::index(&name)).collect();
    for parent in parents {
        fleet.net.restart(parent);
        fleet.rounds(PASSING);
        let before = fleet.totals();
        let credited = fleet.credit_all();
        fleet.rounds(PASSING);
        fleet.expect_growth(&before, credited);
    }
}
