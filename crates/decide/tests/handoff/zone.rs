//! A zone of nodes behind a balancer that goes by a hash of the caller.

use mulberryyoke_decide::handoff::{candidates, targets};
use mulberryyoke_model::Millis;
use xxhash_rust::xxh3::xxh3_64;

use crate::node::{Node, STEP_MS};

/// Time within which an answer is on time, in milliseconds.
const OBJECTIVE_MS: f64 = 500.0;

/// Time between the balancer's questions, in milliseconds.
const ASK_MS: Millis = 1_000;

/// How a node that has too much to do is relieved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    /// It is not ready for a while.
    Today,
    /// It hands connections on before that.
    HandOn,
}

/// A caller and what it sends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller {
    pub(crate) id: u64,
    /// Requests a second.
    pub(crate) rate: f64,
    pub(crate) from_ms: Millis,
}

/// What came of a play.
#[derive(Clone, Debug, Default)]
pub(crate) struct Played {
    pub(crate) asked: u64,
    pub(crate) handed_on: u64,
    /// Requests that found nobody listening.
    pub(crate) unconnected: u64,
    /// When each request came, and whether it was answered on time.
    requests: Vec<(Millis, bool)>,
}

impl Played {
    /// Part of the requests since an instant that were answered on time.
    pub(crate) fn on_time_after(&self, from: Millis) -> f64 {
        let since = self.requests.iter().filter(|(at, _)| *at >= from);
        let (count, good) = since.fold((0_u32, 0_u32), |(count, good), (_, is_good)| {
            (count + 1, good + u32::from(*is_good))
        });
        f64::from(good) / f64::from(count.max(1))
    }
}

/// The nodes.
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

    pub(crate) fn play(mut self, callers: &[Caller], way: Way, seconds: u64) -> Played {
        let mut played = Played::default();
        for step in 0..seconds * 1_000 / STEP_MS {
            let now = step * STEP_MS;
            if now.is_multiple_of(ASK_MS) {
                self.nodes.iter_mut().for_each(|node| node.answer(now));
            }
            for caller in callers.iter().filter(|caller| now >= caller.from_ms) {
                let due = |at: Millis| (caller.rate * at as f64 / 1_000.0) as u64;
                for _ in due(now)..due(now + STEP_MS) {
                    self.ask(caller, way, now, &mut played);
                }
            }
            self.nodes.iter_mut().for_each(|node| node.step(now));
        }
        played
    }

    fn ask(&mut self, caller: &Caller, way: Way, now: Millis, played: &mut Played) {
        let index = self.chosen(caller.id);
        played.asked += 1;
        let sizes = self.nodes.iter().map(|node| node.thousandths);
        let sizes = (0..).zip(sizes);
        let larger = targets(self.nodes[index].thousandths, sizes);
        let drawn = usize::try_from(played.asked).expect("some thousand requests");
        let is_listening = |node: &Node| !node.overload.is_overloaded();
        let is_behind = way == Way::HandOn && now < self.nodes[index].behind.until();
        let target = candidates(&larger, drawn)
            .filter_map(|target| usize::try_from(target).ok())
            .find(|target| is_behind && is_listening(&self.nodes[*target]));
        let late_ms = match target {
            Some(target) => {
                played.handed_on += 1;
                self.nodes[index].pass_on();
                self.nodes[index].late_ms() + self.nodes[target].serve()
            }
            None if is_listening(&self.nodes[index]) => self.nodes[index].serve(),
            None => {
                played.unconnected += 1;
                f64::INFINITY
            }
        };
        played.requests.push((now, late_ms < OBJECTIVE_MS));
    }

    /// The node to which the balancer sends a caller's new connection.
    fn chosen(&self, caller: u64) -> usize {
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
