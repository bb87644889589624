//! Simulated zone of nodes behind a balancer that hashes callers.

use mulberryyoke_decide::handoff::{candidates, targets};
use mulberryyoke_model::Millis;
use xxhash_rust::xxh3::xxh3_64;

use crate::node::{Node, STEP_MS};

/// Latency objective, in milliseconds.
const OBJECTIVE_MS: f64 = 500.0;

/// Time between the balancer's readiness probes, in milliseconds.
const PROBE_INTERVAL_MS: Millis = 1_000;

/// How an overloaded node is relieved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Relief {
    /// It fails its readiness probes for a while.
    Readiness,
    /// It also hands off connections before that.
    Handoff,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller {
    pub(crate) id: u64,
    /// Requests a second.
    pub(crate) rate: f64,
    pub(crate) from_ms: Millis,
}

/// Result of a simulation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) requests: u64,
    pub(crate) handed_off: u64,
    /// Requests whose connection was refused.
    pub(crate) refused: u64,
    /// When each request arrived, and whether it was answered on time.
    results: Vec<(Millis, bool)>,
}

impl Outcome {
    /// Returns the fraction of the requests since `from` that were answered on time.
    pub(crate) fn on_time_after(&self, from: Millis) -> f64 {
        let since = self.results.iter().filter(|(at, _)| *at >= from);
        let (count, good) = since.fold((0_u32, 0_u32), |(count, good), (_, is_good)| {
            (count + 1, good + u32::from(*is_good))
        });
        f64::from(good) / f64::from(count.max(1))
    }
}

#[derive(Debug)]
pub(crate) struct Zone {
    nodes: Vec<Node>,
    seed: u64,
}

impl Zone {
    pub(crate) fn new(sizes: &[u32], seed: u64) -> Self {
        Self {
            nodes: sizes.iter().map(|size| Node::new(*size)).collect(),
            seed,
        }
    }

    pub(crate) fn run(mut self, callers: &[Caller], relief: Relief, seconds: u64) -> Outcome {
        let mut outcome = Outcome::default();
        for step in 0..seconds * 1_000 / STEP_MS {
            let now = step * STEP_MS;
            if now.is_multiple_of(PROBE_INTERVAL_MS) {
                self.nodes.iter_mut().for_each(|node| node.probe(now));
            }
            for caller in callers.iter().filter(|caller| now >= caller.from_ms) {
                let due = |at: Millis| (caller.rate * at as f64 / 1_000.0) as u64;
                for _ in due(now)..due(now + STEP_MS) {
                    self.request(caller, relief, now, &mut outcome);
                }
            }
            self.nodes.iter_mut().for_each(|node| node.step(now));
        }
        outcome
    }

    fn request(&mut self, caller: &Caller, relief: Relief, now: Millis, outcome: &mut Outcome) {
        let index = self.balance(caller.id);
        outcome.requests += 1;
        let sizes = self.nodes.iter().map(|node| node.thousandths);
        let sizes = (0..).zip(sizes);
        let larger = targets(self.nodes[index].thousandths, sizes);
        let drawn = usize::try_from(outcome.requests).expect("some thousand requests");
        let is_listening = |node: &Node| !node.overload.is_overloaded();
        let hands_off = relief == Relief::Handoff && now < self.nodes[index].handoff.until();
        let target = candidates(&larger, drawn)
            .filter_map(|target| usize::try_from(target).ok())
            .find(|target| hands_off && is_listening(&self.nodes[*target]));
        let delay_ms = match target {
            Some(target) => {
                outcome.handed_off += 1;
                self.nodes[index].forward();
                self.nodes[index].delay_ms() + self.nodes[target].serve()
            }
            None if is_listening(&self.nodes[index]) => self.nodes[index].serve(),
            None => {
                outcome.refused += 1;
                f64::INFINITY
            }
        };
        outcome.results.push((now, delay_ms < OBJECTIVE_MS));
    }

    /// Returns the node to which the balancer sends a caller's new connection.
    fn balance(&self, caller: u64) -> usize {
        let ready = self.nodes.iter().filter(|node| node.is_in_rotation());
        let all = ready.count() * 2 < self.nodes.len();
        let open = self.nodes.iter().enumerate();
        let open = open.filter(|(_, node)| all || node.is_in_rotation());
        let weighed = open.map(|(index, _)| {
            let text = format!("{} {caller} {index}", self.seed);
            (xxh3_64(text.as_bytes()), index)
        });
        weighed.max().map_or(0, |(_, index)| index)
    }
}
