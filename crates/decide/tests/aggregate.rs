//! What gateways learn of each other, over collectors.

use std::collections::HashMap;

use googletest::prelude::*;
use mulberryyoke_decide::aggregate::{
    Aggregate, COLLECTORS_PER_ZONE, EXPIRY_MS, MessageId, Placement, State, Sum, interval_ms,
    name_hash, rank_by_cpu,
};
use mulberryyoke_decide::engine::Load;
use mulberryyoke_decide::share::Flow;
use mulberryyoke_model::{CustomerId, Incarnation, Millis, ServerId};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVERS: u32 = 180;
const CUSTOMERS: u32 = 60;

/// A gateway of a fleet that is played.
struct Node {
    name: String,
    place: Placement,
    origin: Incarnation,
    number: u32,
    state: State,
    aggregate: Aggregate,
    is_up: bool,
}

impl Node {
    fn new(index: u64, zone: usize, processors: f64) -> Self {
        let zone = format!("z{zone}");
        let origin = Incarnation(index + 1);
        Self {
            name: format!("g{index}"),
            aggregate: Aggregate::new(origin, &zone),
            place: Placement::new(&zone, processors),
            origin,
            number: 0,
            state: State::default(),
            is_up: true,
        }
    }

    fn next(&mut self) -> MessageId {
        self.number += 1;
        MessageId {
            origin: self.origin,
            sequence: self.number,
        }
    }
}

/// A fleet whose messages all arrive, but for those of nodes that are down.
struct Fleet {
    nodes: Vec<Node>,
    zones: usize,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn new(nodes: u64, zones: usize) -> Self {
        let node = |index| {
            let place = usize::try_from(index).unwrap_or(0);
            let processors = if place / zones < 3 { 0.5 } else { 0.09 };
            Node::new(index, place % zones, processors)
        };
        Self {
            nodes: (0..nodes).map(node).collect(),
            zones,
            rng: ChaCha8Rng::seed_from_u64(nodes),
        }
    }

    /// Gives every node new requests at some servers.
    fn work(&mut self) {
        for node in &mut self.nodes {
            node.state = state(&mut self.rng);
        }
    }

    fn collectors(&self, zone: usize) -> Vec<usize> {
        let zone = format!("z{zone}");
        let nodes = self.nodes.iter().filter(|node| node.place.zone == zone);
        let names = rank_by_cpu(nodes.map(|node| (node.name.as_str(), &node.place)));
        let index = |name: &str| self.nodes.iter().position(|node| node.name == name);
        let indices = names
            .into_iter()
            .take(COLLECTORS_PER_ZONE)
            .filter_map(index);
        indices.collect()
    }

    /// One round: own states to the collectors, zones' sums between them, and the fleet's down.
    fn round(&mut self, now: Millis) {
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            node.aggregate.expire(now);
            let (from, state) = (node.next(), node.state.clone());
            node.aggregate.record_own(from.sequence, state.clone());
            let (name, zone) = (name_hash(&node.name), index % self.zones);
            if !node.is_up {
                continue;
            }
            for collector in self.collectors(zone) {
                if collector != index {
                    let aggregate = &mut self.nodes[collector].aggregate;
                    aggregate.receive_gateway(name, from, state.clone(), now);
                }
            }
        }
        let all: Vec<usize> = (0..self.zones)
            .flat_map(|zone| self.collectors(zone))
            .collect();
        let up: Vec<usize> = all
            .iter()
            .copied()
            .filter(|index| self.nodes[*index].is_up)
            .collect();
        for &index in &up {
            let node = &mut self.nodes[index];
            let (from, sum) = (node.next(), node.aggregate.zone_sum());
            let zone = name_hash(&node.place.zone);
            for &other in &all {
                let aggregate = &mut self.nodes[other].aggregate;
                aggregate.receive_zone(zone, from, sum.clone(), now);
            }
        }
        for index in up {
            let node = &mut self.nodes[index];
            let (from, sum) = (node.next(), node.aggregate.fleet_sum(now));
            let zone = index % self.zones;
            let members = self.nodes.iter_mut().enumerate();
            let members = members.filter(|(other, _)| other % self.zones == zone);
            for (_, member) in members.filter(|(other, _)| !all.contains(other)) {
                member.aggregate.receive_fleet(from, sum.clone(), now);
            }
        }
    }

    /// What all nodes but one that are up have.
    fn truth(&self, but: usize) -> State {
        let mut state = State::default();
        let nodes = self.nodes.iter().enumerate();
        for (_, node) in nodes.filter(|(index, node)| *index != but && node.is_up) {
            state.add(&node.state);
        }
        state
    }

    /// Nodes that are up and do not know what the others have to the token.
    fn wrong(&self, now: Millis) -> Vec<usize> {
        let up = (0..self.nodes.len()).filter(|index| self.nodes[*index].is_up);
        let wrong = up.filter(|index| {
            let told = self.nodes[*index].aggregate.others(now).unwrap_or_default();
            plain(&told) != plain(&self.truth(*index))
        });
        wrong.collect()
    }
}

/// A state without what is nothing, and without fractions.
fn plain(state: &State) -> (HashMap<ServerId, Load>, HashMap<CustomerId, (i64, i64)>) {
    let loads = state
        .loads
        .iter()
        .filter(|(_, load)| **load != Load::default());
    let flows = state.flows.iter().map(|(&customer, flow)| {
        #[expect(clippy::cast_possible_truncation, reason = "small numbers of tokens")]
        let flow = (flow.requested.round() as i64, flow.granted.round() as i64);
        (customer, flow)
    });
    let flows = flows.filter(|(_, flow)| *flow != (0, 0));
    (
        loads.map(|(&id, &load)| (id, load)).collect(),
        flows.collect(),
    )
}

fn state(rng: &mut impl Rng) -> State {
    let mut state = State::default();
    for _ in 0..25 {
        let load = Load {
            prefill_tokens: rng.random_range(0..20_000),
            queued: rng.random_range(0..3),
            running: rng.random_range(0..3),
        };
        state
            .loads
            .insert(ServerId(rng.random_range(0..SERVERS)), load);
        let asked = f64::from(rng.random_range(0..200_000_u32));
        let flow = Flow {
            requested: asked,
            granted: (asked / 2.0).floor(),
        };
        let customer = CustomerId(rng.random_range(0..CUSTOMERS));
        state.flows.insert(customer, flow);
    }
    state
}

#[gtest]
fn every_gateway_knows_what_all_others_have() {
    for (nodes, zones) in [(1, 1), (3, 3), (5, 4), (8, 1), (21, 4), (103, 5)] {
        let mut fleet = Fleet::new(nodes, zones);
        for round in 1..4 {
            fleet.work();
            fleet.round(100 * round);
            expect_that!(
                fleet.wrong(100 * round),
                is_empty(),
                "{nodes} nodes in {zones} zones"
            );
        }
    }
}

#[gtest]
fn a_lost_collector_is_not_missed_and_counts_nothing_twice() {
    let mut fleet = Fleet::new(103, 5);
    fleet.work();
    fleet.round(100);
    let lost: Vec<usize> = (0..5).map(|zone| fleet.collectors(zone)[0]).collect();
    for index in &lost {
        fleet.nodes[*index].is_up = false;
    }
    let mut now = 200;
    fleet.work();
    fleet.round(now);
    for index in (0..103).filter(|index| !lost.contains(index)) {
        let told = fleet.nodes[index].aggregate.others(now).unwrap_or_default();
        let truth = fleet.truth(index);
        for (server, load) in &truth.loads {
            let told = told.loads.get(server).copied().unwrap_or_default();
            expect_that!(
                told.prefill_tokens,
                ge(load.prefill_tokens),
                "what lives is known at once"
            );
        }
    }
    while now < 200 + EXPIRY_MS {
        now += 100;
        fleet.round(now);
    }
    expect_that!(fleet.wrong(now), is_empty(), "what was lost is forgotten");
}

#[gtest]
fn a_gateway_that_restarts_counts_once() {
    let mut collector = Aggregate::new(Incarnation(1), "a");
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let (before, after) = (state(&mut rng), state(&mut rng));
    let member = |origin, number| MessageId {
        origin: Incarnation(origin),
        sequence: number,
    };
    collector.receive_gateway(name_hash("g"), member(5, 900), before, 0);
    collector.receive_gateway(name_hash("g"), member(6, 1), after.clone(), 10);
    expect_that!(
        plain(&collector.others(10).unwrap_or_default()),
        eq(&plain(&after))
    );
    expect_that!(collector.knows(Incarnation(5)), eq(false));
}

#[gtest]
fn a_late_message_changes_nothing() {
    let mut aggregate = Aggregate::new(Incarnation(1), "a");
    let mut rng = ChaCha8Rng::seed_from_u64(8);
    let (first, second) = (state(&mut rng), state(&mut rng));
    let member = |number| MessageId {
        origin: Incarnation(2),
        sequence: number,
    };
    expect_that!(
        aggregate.receive_gateway(9, member(4), second.clone(), 0),
        eq(true)
    );
    for number in [3, 4] {
        expect_that!(
            aggregate.receive_gateway(9, member(number), first.clone(), 1),
            eq(false)
        );
    }
    expect_that!(
        plain(&aggregate.others(1).unwrap_or_default()),
        eq(&plain(&second))
    );
}

#[gtest]
fn own_requests_are_taken_out_as_they_were_when_they_were_told() {
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let (own, later, others) = (state(&mut rng), state(&mut rng), state(&mut rng));
    let mut member = Aggregate::new(Incarnation(1), "a");
    member.record_own(1, own.clone());
    member.record_own(2, later);
    let mut together = own;
    together.add(&others);
    let sum = Sum {
        gateways: 2,
        members: vec![MessageId {
            origin: Incarnation(1),
            sequence: 1,
        }],
        state: together,
    };
    let from = MessageId {
        origin: Incarnation(2),
        sequence: 1,
    };
    member.receive_fleet(from, sum, 5);
    expect_that!(
        plain(&member.others(5).unwrap_or_default()),
        eq(&plain(&others))
    );
}

#[gtest]
fn of_two_collectors_of_a_zone_the_one_that_hears_more_counts() {
    let mut aggregate = Aggregate::new(Incarnation(1), "a");
    let mut rng = ChaCha8Rng::seed_from_u64(10);
    let (all, part) = (state(&mut rng), state(&mut rng));
    let sum = |nodes, state: &State| Sum {
        gateways: nodes,
        members: Vec::new(),
        state: state.clone(),
    };
    let member = |origin| MessageId {
        origin: Incarnation(origin),
        sequence: 1,
    };
    aggregate.receive_zone(name_hash("b"), member(2), sum(20, &all), 0);
    aggregate.receive_zone(name_hash("b"), member(3), sum(4, &part), 50);
    expect_that!(
        plain(&aggregate.others(60).unwrap_or_default()),
        eq(&plain(&all))
    );
    // The first is silent since.
    expect_that!(
        plain(&aggregate.others(600).unwrap_or_default()),
        eq(&plain(&part))
    );
}

#[gtest]
fn without_any_word_peers_are_taken_to_have_as_much_spread_evenly() {
    let aggregate = Aggregate::new(Incarnation(1), "a");
    expect_that!(aggregate.others(0), none());
    let pools = [(0..4).map(ServerId).collect(), vec![ServerId(9)]];
    let mut own = State::default();
    let load = Load {
        prefill_tokens: 1_000,
        queued: 2,
        running: 6,
    };
    own.loads.insert(ServerId(3), load);
    let flow = Flow {
        requested: 500.0,
        granted: 100.0,
    };
    own.flows.insert(CustomerId(1), flow);
    let estimate = own.extrapolate(10, &pools);
    let each = Load {
        prefill_tokens: 2_500,
        queued: 5,
        running: 15,
    };
    expect_that!(estimate.loads.len(), eq(5));
    for server in 0..4 {
        expect_that!(estimate.loads[&ServerId(server)], eq(each));
    }
    expect_that!(
        estimate.loads[&ServerId(9)],
        eq(Load::default()),
        "another pool"
    );
    expect_that!(estimate.flows[&CustomerId(1)].requested, eq(5_000.0));
}

#[gtest]
fn however_many_packets_a_gateway_is_never_silent_between_two_rounds() {
    // With eight milliseconds of pause for each of 102 peers a gateway was heard every
    // 816 ms, and taken to be gone after 600 ms: every peer went and came all the time.
    for packets in [0, 1, 2, 13, 96, 102, 699, 100_000] {
        for processors in [0.01, 0.09, 0.19, 0.5, 1.0, 8.0] {
            for collects in [false, true] {
                let ms = interval_ms(packets, processors, collects);
                expect_that!(ms, ge(20));
                expect_that!(
                    4 * ms,
                    le(EXPIRY_MS),
                    "{packets} packets, {processors} processors"
                );
            }
        }
    }
}

#[gtest]
fn a_packet_takes_more_time_where_there_is_less_processor() {
    expect_that!(interval_ms(2, 0.09, false), eq(40));
    expect_that!(interval_ms(4, 0.5, true), eq(20));
    expect_that!(interval_ms(96, 0.5, true), all!(gt(50), lt(90)));
    expect_that!(interval_ms(96, 0.09, true), eq(250));
}

#[gtest]
fn the_largest_gateways_collect_and_all_agree() {
    let places = [
        ("small", Placement::new("a", 0.09)),
        ("large", Placement::new("a", 0.5)),
        ("larger", Placement::new("a", 2.0)),
        ("tiny", Placement::new("a", 0.05)),
    ];
    let names = rank_by_cpu(places.iter().map(|(name, place)| (*name, place)));
    expect_that!(names, eq(&["larger", "large", "small", "tiny"]));
    let back = rank_by_cpu(places.iter().rev().map(|(name, place)| (*name, place)));
    expect_that!(back, eq(&names));
}
