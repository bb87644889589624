//! Times within which sources of the same data are asked, on simulated time.

use googletest::prelude::*;
use mulberryyoke_decide::failover::{
    Call, Failover, MAX_PROBE_INTERVAL_MS, MAX_SEARCH_MS, Purpose, Source,
};
use mulberryyoke_model::Millis;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Time that a call waits for changes, and after which its answer is overdue.
const WAIT_MS: Millis = 700;
const SLACK_MS: Millis = 100;

/// Time after the wait at which a call is given up.
const TIMEOUT_MS: Millis = 900;

/// Longest latency of a source that works.
const MAX_LATENCY_MS: Millis = 50;

/// Half of the time in which gateways have to stop using a server that leaves.
const BOUND_MS: Millis = 1_000;

/// How a source answers.
#[derive(Clone, Copy, Debug)]
enum Behavior {
    /// With current data, this long after the wait.
    Works(Millis),
    /// Without current data, this long after the call, which does not wait.
    Stale(Millis),
    /// With an error, this long after the call.
    Fails(Millis),
    /// Never, or too slowly to be complete in time.
    Hangs,
    /// With current data, but later than it is expected.
    Late(Millis),
}

impl Behavior {
    /// When a call ends, and with which result: whether data was current, or `None` for an error.
    fn end(self, now: Millis, wait: Millis) -> (Millis, Option<bool>) {
        match self {
            Self::Works(latency) => (now + wait + latency, Some(true)),
            Self::Stale(latency) => (now + latency, Some(false)),
            Self::Fails(latency) => (now + latency, None),
            Self::Hangs => (now + wait + TIMEOUT_MS, None),
            Self::Late(delay) => (now + wait + SLACK_MS + delay, Some(true)),
        }
    }
}

fn bad() -> impl Strategy<Value = Behavior> {
    prop_oneof![
        (1..300_u64).prop_map(Behavior::Stale),
        (1..300_u64).prop_map(Behavior::Fails),
        Just(Behavior::Hangs),
    ]
}

fn any_behavior() -> impl Strategy<Value = Behavior> {
    prop_oneof![
        bad(),
        (1..500_u64).prop_map(Behavior::Late),
        (1..MAX_LATENCY_MS).prop_map(Behavior::Works),
    ]
}

/// Number of cases of each property.
const CASES: u32 = 2_000;

/// Behaviors of each source, one after the other, with the times at which they begin.
type Schedule = Vec<Vec<(Millis, Behavior)>>;

/// Sources that change their behavior every few hundred milliseconds.
fn schedule(
    sources: std::ops::Range<usize>,
    behavior: impl Strategy<Value = Behavior>,
) -> impl Strategy<Value = Schedule> {
    let phases = prop::collection::vec((100..1_500_u64, behavior), 1..12);
    let phases = phases.prop_map(|phases| {
        let mut at = 0;
        let begins = phases.into_iter().map(|(length, behavior)| {
            let begin = at;
            at += length;
            (begin, behavior)
        });
        begins.collect()
    });
    prop::collection::vec(phases, sources)
}

/// A simulated gateway.
struct Simulation {
    failover: Failover<usize>,
    rng: ChaCha8Rng,
    now: Millis,
    /// Calls in flight, with their ends and results.
    calls: Vec<(Millis, Option<bool>, Call<usize>)>,
    /// When current data was received.
    current: Vec<Millis>,
    /// When the service was called.
    service_calls: Vec<Millis>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            failover: Failover::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            calls: Vec::new(),
            current: Vec::new(),
            service_calls: Vec::new(),
        }
    }

    /// Runs until a time, with sources in the order of preference that behave as scheduled.
    fn run(&mut self, sources: &[Source<usize>], schedule: &Schedule, until: Millis) {
        self.failover.update(sources);
        while self.now < until {
            while let Some(call) = self.failover.select(self.now, &mut self.rng) {
                self.start(sources, schedule, call);
            }
            let ends = self.calls.iter().map(|(end, ..)| *end);
            let next = ends.chain(self.failover.next_at(self.now)).min();
            let next = next.expect("a call is in flight or planned");
            assert!(next > self.now || self.calls.iter().any(|(end, ..)| *end <= next));
            self.now = next.max(self.now);
            self.end_calls();
        }
    }

    fn start(&mut self, sources: &[Source<usize>], schedule: &Schedule, call: Call<usize>) {
        let index = sources.iter().position(|source| *source == call.source);
        let phases = &schedule[index.expect("a source")];
        let current = phases.iter().rfind(|(begin, _)| *begin <= self.now);
        let behavior = current.expect("the first phase begins at once").1;
        let wait = match call.purpose {
            Purpose::Follow => {
                // It ends as long after the last answer as if it had been made at once.
                let last = self.current.last().copied().unwrap_or(0);
                let wait = WAIT_MS.saturating_sub(self.now - last);
                self.failover.expect_by(self.now + wait + SLACK_MS);
                wait
            }
            Purpose::Probe => 0,
        };
        let (end, result) = behavior.end(self.now, wait);
        self.calls.push((end, result, call));
        if call.source == Source::Service {
            self.service_calls.push(self.now);
        }
    }

    fn end_calls(&mut self) {
        let now = self.now;
        let (ended, calls): (Vec<_>, Vec<_>) =
            self.calls.drain(..).partition(|(end, ..)| *end <= now);
        self.calls = calls;
        for (_, result, call) in ended {
            match result {
                Some(is_current) => {
                    self.failover
                        .record_answer(call, now, is_current, &mut self.rng);
                    self.current.extend(is_current.then_some(now));
                }
                None => self.failover.record_failure(call),
            }
        }
    }

    /// Longest time without current data between two times.
    fn longest_gap(&self, from: Millis, until: Millis) -> Millis {
        let within = self
            .current
            .iter()
            .filter(|at| **at >= from && **at < until);
        let times: Vec<Millis> = [from].into_iter().chain(within.copied()).collect();
        let ends = times.iter().skip(1).copied().chain([until]);
        let gaps = times.iter().zip(ends).map(|(begin, end)| end - begin);
        gaps.max().unwrap_or(0)
    }
}

/// Sources of a gateway: peers, and the service first or last.
fn sources(count: usize, is_watcher: bool) -> Vec<Source<usize>> {
    let mut sources: Vec<Source<usize>> = (1..count).map(Source::Peer).collect();
    let rank = if is_watcher { 0 } else { sources.len() };
    sources.insert(rank, Source::Service);
    sources
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    /// Guards against peers that keep a gateway from a service that is back: it sent requests to
    /// servers that had left until one of the peers was back.
    #[test]
    fn data_is_current_soon_after_the_return_of_the_service(
        schedule in schedule(1..12, bad()), is_watcher: bool, latency in 1..MAX_LATENCY_MS, seed: u64,
    ) {
        let sources = sources(schedule.len(), is_watcher);
        let mut simulation = Simulation::new(seed);
        simulation.run(&sources, &schedule, 5_000);
        let mut schedule = schedule;
        let service = sources.iter().position(|source| *source == Source::Service).expect("it is there");
        let returned_at = simulation.now;
        schedule[service] = vec![(0, Behavior::Works(latency))];
        simulation.run(&sources, &schedule, returned_at + 5_000);
        let first = simulation.current.iter().find(|at| **at >= returned_at);
        let delay = first.expect("data is current") - returned_at;
        prop_assert!(delay <= MAX_PROBE_INTERVAL_MS + latency, "{delay}");
        prop_assert!(delay <= BOUND_MS);
    }

    /// Guards against sources that hang, are stale or trickle and thereby keep another from being
    /// asked: while any one works, there is current data at all times.
    #[test]
    fn data_stays_current_while_any_one_source_works(
        schedule in schedule(1..12, any_behavior()), is_watcher: bool, good: prop::sample::Index,
        latency in 1..MAX_LATENCY_MS, seed: u64,
    ) {
        let sources = sources(schedule.len(), is_watcher);
        let mut schedule = schedule;
        let good = good.index(schedule.len());
        schedule[good] = vec![(0, Behavior::Works(latency))];
        let mut simulation = Simulation::new(seed);
        simulation.run(&sources, &schedule, 15_000);
        let gap = simulation.longest_gap(1_000, simulation.now);
        let bound = WAIT_MS + SLACK_MS + MAX_SEARCH_MS + latency;
        prop_assert!(gap <= bound, "{gap} > {bound}: {:?}", simulation.current);
        prop_assert!(gap <= BOUND_MS);
    }

    /// Guards against gateways that load the service while it is lost.
    #[test]
    fn a_lost_service_is_called_twice_a_second_at_most(
        schedule in schedule(1..12, bad()), is_watcher: bool, seed: u64,
    ) {
        let sources = sources(schedule.len(), is_watcher);
        let mut simulation = Simulation::new(seed);
        simulation.run(&sources, &schedule, 20_000);
        prop_assert!(simulation.service_calls.len() <= 41, "{}", simulation.service_calls.len());
    }

    /// Guards against calls of the service by gateways that others serve.
    #[test]
    fn a_follower_does_not_call_the_service_while_a_peer_works(
        schedule in schedule(3..4, bad()), latency in 1..MAX_LATENCY_MS, seed: u64,
    ) {
        let sources = sources(schedule.len(), false);
        let mut schedule = schedule;
        schedule[0] = vec![(0, Behavior::Works(latency))];
        let mut simulation = Simulation::new(seed);
        simulation.run(&sources, &schedule, 20_000);
        prop_assert!(simulation.service_calls.is_empty());
    }
}

/// A source that works is not left for a preferred one that is only probed.
#[gtest]
fn a_preferred_source_is_followed_once_it_has_current_data() {
    let sources = sources(3, true);
    let hangs_until_8_s = vec![(0, Behavior::Hangs), (8_000, Behavior::Works(5))];
    let works = vec![(0, Behavior::Works(5))];
    let schedule = vec![hangs_until_8_s, works.clone(), works];
    let mut simulation = Simulation::new(1);
    simulation.run(&sources, &schedule, 7_900);
    expect_that!(simulation.failover.followed(), some(eq(Source::Peer(1))));
    expect_that!(simulation.longest_gap(200, 7_900), le(WAIT_MS + SLACK_MS));
    simulation.run(&sources, &schedule, 10_000);
    expect_that!(simulation.failover.followed(), some(eq(Source::Service)));
}

#[gtest]
fn sources_may_come_and_go() {
    let works = vec![(0, Behavior::Works(5))];
    let schedule = vec![works.clone(), works.clone(), works];
    let mut simulation = Simulation::new(1);
    simulation.run(&[Source::Service], &schedule, 1_000);
    expect_that!(simulation.failover.followed(), some(eq(Source::Service)));
    simulation.run(&[Source::Peer(1), Source::Service], &schedule, 2_000);
    expect_that!(simulation.failover.followed(), some(eq(Source::Peer(1))));
    simulation.run(&[Source::Peer(2), Source::Service], &schedule, 3_000);
    expect_that!(simulation.failover.followed(), some(eq(Source::Peer(2))));
    expect_that!(simulation.longest_gap(1_000, 3_000), le(BOUND_MS));
}

/// Time from a change, which answers the call of a gateway that follows the service although it
/// prefers a peer, to its next call.
fn pause_after_change(seed: u64) -> Millis {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut failover = Failover::default();
    failover.update(&[Source::Peer(1), Source::Service]);
    let mut now = 0;
    let mut next_call = |failover: &mut Failover<usize>, rng: &mut ChaCha8Rng, purpose| loop {
        let call = failover.select(now, rng);
        match call {
            Some(call) if call.purpose == purpose && call.source == Source::Service => {
                return (now, call);
            }
            Some(_) => {}
            None => now += 1,
        }
    };
    let (at, probe) = next_call(&mut failover, &mut rng, Purpose::Probe);
    failover.record_answer(probe, at, true, &mut rng);
    let (at, awaited) = next_call(&mut failover, &mut rng, Purpose::Follow);
    failover.expect_by(at + WAIT_MS + SLACK_MS);
    failover.record_answer(awaited, at, true, &mut rng);
    let (next_at, _) = next_call(&mut failover, &mut rng, Purpose::Follow);
    next_at - at
}

/// Guards against all gateways calling the service at once after a change, while those that they
/// prefer are cut off.
#[gtest]
fn gateways_that_others_do_not_serve_spread_their_calls_after_a_change() {
    let pauses: Vec<Millis> = (0..300).map(pause_after_change).collect();
    for begin in 0..1_000 {
        let within = pauses
            .iter()
            .filter(|pause| (begin..begin + 100).contains(*pause));
        expect_that!(within.count(), le(150), "{begin}");
    }
}
