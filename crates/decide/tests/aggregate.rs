//! Aggregation of the gateways' state by collectors.

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

/// A simulated gateway.
struct Gateway {
    name: String,
    placement: Placement,
    origin: Incarnation,
    sequence: u32,
    state: State,
    aggregate: Aggregate,
    is_up: bool,
}

impl Gateway {
    fn new(index: u64, zone: usize, cpus: f64) -> Self {
        let zone = format!("z{zone}");
        let origin = Incarnation(index + 1);
        Self {
            name: format!("g{index}"),
            aggregate: Aggregate::new(origin, &zone),
            placement: Placement::new(&zone, cpus),
            origin,
            sequence: 0,
            state: State::default(),
            is_up: true,
        }
    }

    fn next_message(&mut self) -> MessageId {
        self.sequence += 1;
        MessageId {
            origin: self.origin,
            sequence: self.sequence,
        }
    }
}

/// A simulated fleet that loses no messages except those of gateways that are down.
struct Fleet {
    gateways: Vec<Gateway>,
    zones: usize,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn new(gateways: u64, zones: usize) -> Self {
        let gateway = |index| {
            let position = usize::try_from(index).unwrap_or(0);
            let cpus = if position / zones < 3 { 0.5 } else { 0.09 };
            Gateway::new(index, position % zones, cpus)
        };
        Self {
            gateways: (0..gateways).map(gateway).collect(),
            zones,
            rng: ChaCha8Rng::seed_from_u64(gateways),
        }
    }

    /// Replaces the state of every gateway by a random one.
    fn randomize(&mut self) {
        for gateway in &mut self.gateways {
            gateway.state = random_state(&mut self.rng);
        }
    }

    fn collectors(&self, zone: usize) -> Vec<usize> {
        let zone = format!("z{zone}");
        let gateways = self
            .gateways
            .iter()
            .filter(|gateway| gateway.placement.zone == zone);
        let names =
            rank_by_cpu(gateways.map(|gateway| (gateway.name.as_str(), &gateway.placement)));
        let index = |name: &str| {
            self.gateways
                .iter()
                .position(|gateway| gateway.name == name)
        };
        let indices = names
            .into_iter()
            .take(COLLECTORS_PER_ZONE)
            .filter_map(index);
        indices.collect()
    }

    /// One round: own states to the collectors, zone sums between collectors, fleet sums to the
    /// other gateways.
    fn round(&mut self, now: Millis) {
        for index in 0..self.gateways.len() {
            let gateway = &mut self.gateways[index];
            gateway.aggregate.expire(now);
            let (from, state) = (gateway.next_message(), gateway.state.clone());
            gateway.aggregate.record_own(from.sequence, state.clone());
            let (name, zone) = (name_hash(&gateway.name), index % self.zones);
            if !gateway.is_up {
                continue;
            }
            for collector in self.collectors(zone) {
                if collector != index {
                    let aggregate = &mut self.gateways[collector].aggregate;
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
            .filter(|index| self.gateways[*index].is_up)
            .collect();
        for &index in &up {
            let gateway = &mut self.gateways[index];
            let (from, sum) = (gateway.next_message(), gateway.aggregate.zone_sum());
            let zone = name_hash(&gateway.placement.zone);
            for &other in &all {
                let aggregate = &mut self.gateways[other].aggregate;
                aggregate.receive_zone(zone, from, sum.clone(), now);
            }
        }
        for index in up {
            let gateway = &mut self.gateways[index];
            let (from, sum) = (gateway.next_message(), gateway.aggregate.fleet_sum(now));
            let zone = index % self.zones;
            let members = self.gateways.iter_mut().enumerate();
            let members = members.filter(|(other, _)| other % self.zones == zone);
            for (_, member) in members.filter(|(other, _)| !all.contains(other)) {
                member.aggregate.receive_fleet(from, sum.clone(), now);
            }
        }
    }

    /// Combined state of all gateways that are up except one.
    fn truth(&self, except: usize) -> State {
        let mut state = State::default();
        let gateways = self.gateways.iter().enumerate();
        for (_, gateway) in gateways.filter(|(index, gateway)| *index != except && gateway.is_up) {
            state.add(&gateway.state);
        }
        state
    }

    /// Gateways that are up whose view of the others is not exact.
    fn inexact(&self, now: Millis) -> Vec<usize> {
        let up = (0..self.gateways.len()).filter(|index| self.gateways[*index].is_up);
        let inexact = up.filter(|index| {
            let known = self.gateways[*index]
                .aggregate
                .others(now)
                .unwrap_or_default();
            normalized(&known) != normalized(&self.truth(*index))
        });
        inexact.collect()
    }
}

/// A state rounded to whole tokens and without zero entries.
fn normalized(state: &State) -> (HashMap<ServerId, Load>, HashMap<CustomerId, (i64, i64)>) {
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

fn random_state(rng: &mut impl Rng) -> State {
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
fn every_gateway_knows_the_state_of_all_others() {
    for (gateways, zones) in [(1, 1), (3, 3), (5, 4), (8, 1), (21, 4), (103, 5)] {
        let mut fleet = Fleet::new(gateways, zones);
        for round in 1..4 {
            fleet.randomize();
            fleet.round(100 * round);
            expect_that!(
                fleet.inexact(100 * round),
                is_empty(),
                "{gateways} gateways in {zones} zones"
            );
        }
    }
}

#[gtest]
fn losing_a_collector_per_zone_loses_and_duplicates_nothing() {
    let mut fleet = Fleet::new(103, 5);
    fleet.randomize();
    fleet.round(100);
    let lost: Vec<usize> = (0..5).map(|zone| fleet.collectors(zone)[0]).collect();
    for index in &lost {
        fleet.gateways[*index].is_up = false;
    }
    let mut now = 200;
    fleet.randomize();
    fleet.round(now);
    for index in (0..103).filter(|index| !lost.contains(index)) {
        let known = fleet.gateways[index]
            .aggregate
            .others(now)
            .unwrap_or_default();
        let truth = fleet.truth(index);
        for (server, load) in &truth.loads {
            let known = known.loads.get(server).copied().unwrap_or_default();
            expect_that!(
                known.prefill_tokens,
                ge(load.prefill_tokens),
                "known in the same round"
            );
        }
    }
    while now < 200 + EXPIRY_MS {
        now += 100;
        fleet.round(now);
    }
    expect_that!(fleet.inexact(now), is_empty(), "expired");
}

#[gtest]
fn a_gateway_that_restarts_counts_once() {
    let mut collector = Aggregate::new(Incarnation(1), "a");
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let (before, after) = (random_state(&mut rng), random_state(&mut rng));
    let message = |origin, sequence| MessageId {
        origin: Incarnation(origin),
        sequence,
    };
    collector.receive_gateway(name_hash("g"), message(5, 900), before, 0);
    collector.receive_gateway(name_hash("g"), message(6, 1), after.clone(), 10);
    expect_that!(
        normalized(&collector.others(10).unwrap_or_default()),
        eq(&normalized(&after))
    );
    expect_that!(collector.knows(Incarnation(5)), eq(false));
}

#[gtest]
fn an_outdated_message_is_ignored() {
    let mut aggregate = Aggregate::new(Incarnation(1), "a");
    let mut rng = ChaCha8Rng::seed_from_u64(8);
    let (first, second) = (random_state(&mut rng), random_state(&mut rng));
    let message = |sequence| MessageId {
        origin: Incarnation(2),
        sequence,
    };
    expect_that!(
        aggregate.receive_gateway(9, message(4), second.clone(), 0),
        eq(true)
    );
    for sequence in [3, 4] {
        expect_that!(
            aggregate.receive_gateway(9, message(sequence), first.clone(), 1),
            eq(false)
        );
    }
    expect_that!(
        normalized(&aggregate.others(1).unwrap_or_default()),
        eq(&normalized(&second))
    );
}

#[gtest]
fn the_own_state_is_subtracted_as_of_the_message_in_the_sum() {
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let (own, later, others) = (
        random_state(&mut rng),
        random_state(&mut rng),
        random_state(&mut rng),
    );
    let mut aggregate = Aggregate::new(Incarnation(1), "a");
    aggregate.record_own(1, own.clone());
    aggregate.record_own(2, later);
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
    aggregate.receive_fleet(from, sum, 5);
    expect_that!(
        normalized(&aggregate.others(5).unwrap_or_default()),
        eq(&normalized(&others))
    );
}

#[gtest]
fn the_fresh_sum_of_most_gateways_is_preferred() {
    let mut aggregate = Aggregate::new(Incarnation(1), "a");
    let mut rng = ChaCha8Rng::seed_from_u64(10);
    let (all, part) = (random_state(&mut rng), random_state(&mut rng));
    let sum = |gateways, state: &State| Sum {
        gateways,
        members: Vec::new(),
        state: state.clone(),
    };
    let message = |origin| MessageId {
        origin: Incarnation(origin),
        sequence: 1,
    };
    aggregate.receive_zone(name_hash("b"), message(2), sum(20, &all), 0);
    aggregate.receive_zone(name_hash("b"), message(3), sum(4, &part), 50);
    expect_that!(
        normalized(&aggregate.others(60).unwrap_or_default()),
        eq(&normalized(&all))
    );
    // The sum of the first is no longer fresh.
    expect_that!(
        normalized(&aggregate.others(600).unwrap_or_default()),
        eq(&normalized(&part))
    );
}

#[gtest]
fn silent_peers_are_extrapolated_evenly_over_each_pool() {
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
fn the_interval_stays_below_the_expiry_for_any_number_of_packets() {
    // An interval that grows with the number of peers must not let them expire.
    for packets in [0, 1, 2, 13, 96, 102, 699, 100_000] {
        for cpus in [0.01, 0.09, 0.19, 0.5, 1.0, 8.0] {
            for is_collector in [false, true] {
                let ms = interval_ms(packets, cpus, is_collector);
                expect_that!(ms, ge(20));
                expect_that!(4 * ms, le(EXPIRY_MS), "{packets} packets, {cpus} cpus");
            }
        }
    }
}

#[gtest]
fn the_interval_grows_with_packets_per_cpu() {
    expect_that!(interval_ms(2, 0.09, false), eq(40));
    expect_that!(interval_ms(4, 0.5, true), eq(20));
    expect_that!(interval_ms(96, 0.5, true), all!(gt(50), lt(90)));
    expect_that!(interval_ms(96, 0.09, true), eq(250));
}

#[gtest]
fn collectors_are_the_largest_gateways_in_any_order() {
    let placements = [
        ("small", Placement::new("a", 0.09)),
        ("large", Placement::new("a", 0.5)),
        ("larger", Placement::new("a", 2.0)),
        ("tiny", Placement::new("a", 0.05)),
    ];
    let names = rank_by_cpu(
        placements
            .iter()
            .map(|(name, placement)| (*name, placement)),
    );
    expect_that!(names, eq(&["larger", "large", "small", "tiny"]));
    let back = rank_by_cpu(
        placements
            .iter()
            .rev()
            .map(|(name, placement)| (*name, placement)),
    );
    expect_that!(back, eq(&names));
}
