//! Seeded workloads: the requests of all customers over time.

use mulberryyoke_decide::engine::{Prompt, Transfer};
use mulberryyoke_model::saturating_u32;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) name: &'static str,
    /// Fraction of all requests.
    pub(crate) fraction: f64,
    pub(crate) objective_ms: f64,
    /// Number of distinct shared parts and their length in tokens.
    pub(crate) shared: (u64, u32),
    /// Median and maximum of a prompt's unshared tokens.
    pub(crate) own_tokens: (f64, f64),
    /// Time from the first event to the last, in milliseconds.
    pub(crate) stream_ms: f64,
}

pub(crate) const KINDS: [Kind; 3] = [
    Kind {
        name: "long",
        fraction: 0.25,
        objective_ms: 1_000.0,
        shared: (56, 5_400),
        own_tokens: (2_500.0, 54_000.0),
        stream_ms: 2_500.0,
    },
    Kind {
        name: "short",
        fraction: 0.4,
        objective_ms: 1_000.0,
        shared: (200, 200),
        own_tokens: (380.0, 3_300.0),
        stream_ms: 2_000.0,
    },
    Kind {
        name: "tag",
        fraction: 0.35,
        objective_ms: 2_000.0,
        shared: (120, 570),
        own_tokens: (800.0, 6_900.0),
        stream_ms: 200.0,
    },
];

/// A client's request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) at_ms: f64,
    pub(crate) customer: u32,
    pub(crate) kind: usize,
    pub(crate) prompt: Prompt,
    /// Number of the client's attempt, from 0.
    pub(crate) attempt: u32,
}

/// A workload and the faults of the servers during it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    /// Requests per second.
    pub(crate) per_s: f64,
    pub(crate) seconds: u32,
    /// Multiple of the usual request rate of customer 0.
    pub(crate) hot: f64,
    /// A kind, and the multiple of its request rate from 4 to 8 s.
    pub(crate) burst: (usize, f64),
    /// Multiple of all request rates during the first 100 ms of each second.
    pub(crate) pulses: f64,
    /// Whether prompts may wait in the gateways.
    pub(crate) has_queue: bool,
    /// Fraction of the long requests that use the same shared part.
    pub(crate) hot_part: f64,
    /// Fraction of the servers that are down from 6 s on.
    pub(crate) down: f64,
    /// Slowdown factor of a third of the servers from 6 s on.
    pub(crate) slowdown: f64,
    /// Requests of the first 3 s all arrive at 3 s.
    pub(crate) reconnect_burst: bool,
    /// Number of immediate retries after a rejection; 0 for one retry after the given delay.
    pub(crate) immediate_retries: u32,
    /// Fraction of the long prompts that have 50,000 unshared tokens.
    pub(crate) huge: f64,
    /// The only kind of requests; `None` for all.
    pub(crate) only: Option<usize>,
    /// Multiple of the usual duration of streams.
    pub(crate) stream_factor: f64,
    /// Maximum number of unshared tokens of a prompt.
    pub(crate) max_own_tokens: f64,
    pub(crate) gateways: usize,
    pub(crate) servers: usize,
    /// Capacity of all servers that customers share, in tokens per second.
    pub(crate) capacity: f64,
    /// Transfers between the servers.
    pub(crate) transfer: Option<Transfer>,
    /// Memory of a server, in tokens.
    pub(crate) memory_tokens: u32,
    /// Maximum number of concurrent requests per server.
    pub(crate) slots: u32,
    /// Time from the end of prefill to the first token, beyond a decode step, in milliseconds.
    pub(crate) fixed_ms: f64,
    /// Factor by which a quarter of the servers are slower than the others at all times.
    pub(crate) slow_quarter: f64,
}

pub(crate) const BASELINE: Scenario = Scenario {
    per_s: 75.0,
    seconds: 20,
    hot: 1.0,
    burst: (0, 1.0),
    pulses: 1.0,
    has_queue: false,
    hot_part: 0.0,
    down: 0.0,
    slowdown: 1.0,
    reconnect_burst: false,
    immediate_retries: 0,
    huge: 0.0,
    only: None,
    stream_factor: 1.0,
    max_own_tokens: f64::INFINITY,
    gateways: 6,
    servers: 9,
    capacity: 230_000.0,
    transfer: None,
    memory_tokens: 600_000,
    slots: 64,
    fixed_ms: 0.0,
    slow_quarter: 1.0,
};

/// Number of customers. The usual request rate halves from each to the next, down to a floor.
pub(crate) const CUSTOMERS: u32 = 16;

impl Scenario {
    /// All requests of the workload, by time step.
    pub(crate) fn requests(&self, seed: u64) -> Vec<Request> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut requests = Vec::new();
        let step_ms = 10.0;
        let steps = self.seconds * 100;
        for step in 0..steps {
            let at_ms = f64::from(step) * step_ms;
            for kind in 0..KINDS.len() {
                for customer in 0..CUSTOMERS {
                    let mean = self.rate(kind, customer, at_ms) * step_ms / 1_000.0;
                    let extra = rng.random::<f64>() < mean.fract();
                    for _ in 0..saturating_u32(mean) + u32::from(extra) {
                        let at_ms = at_ms + rng.random::<f64>() * step_ms;
                        let at_ms = if self.reconnect_burst {
                            at_ms.max(3_000.0)
                        } else {
                            at_ms
                        };
                        let prompt = self.prompt(kind, &mut rng);
                        let attempt = 0;
                        requests.push(Request {
                            at_ms,
                            customer,
                            kind,
                            prompt,
                            attempt,
                        });
                    }
                }
            }
        }
        requests
    }

    /// Requests per second of a kind and customer.
    fn rate(&self, kind: usize, customer: u32, at_ms: f64) -> f64 {
        let weights: f64 = (0..CUSTOMERS).map(weight).sum();
        if self.only.is_some_and(|only| kind != only) {
            return 0.0;
        }
        let mut rate = self.per_s * KINDS[kind].fraction * weight(customer) / weights;
        if customer == 0 {
            rate *= self.hot;
        }
        if kind == self.burst.0 && (4_000.0..8_000.0).contains(&at_ms) {
            rate *= self.burst.1;
        }
        if at_ms % 1_000.0 < 100.0 {
            rate *= self.pulses;
        }
        rate
    }

    fn prompt(&self, kind: usize, rng: &mut ChaCha8Rng) -> Prompt {
        let Kind {
            shared: (parts, tokens),
            own_tokens: (median, max),
            ..
        } = KINDS[kind];
        let part = if kind == 0 && rng.random::<f64>() < self.hot_part {
            0
        } else {
            rng.random_range(0..parts)
        };
        // Approximates a normal distribution, for log-normal prompt lengths.
        let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
        let mut own = (median * (1.4 * normal).exp()).clamp(20.0, max);
        if kind == 0 && rng.random::<f64>() < self.huge {
            own = 50_000.0;
        }
        own = own.min(self.max_own_tokens);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "thousands of tokens"
        )]
        let own = own as u32;
        let part = part + 1_000 * (kind as u64 + 1);
        Prompt::from_parts(
            "m",
            [
                (kind as u64, tokens / 10),
                (part, tokens),
                (rng.random(), own),
            ],
            300,
        )
    }
}

fn weight(customer: u32) -> f64 {
    0.5_f64.powi(customer.min(5).cast_signed())
}
