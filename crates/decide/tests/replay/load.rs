//! Loads: who asks what, and when.

use mulberryyoke_decide::engine::Prompt;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) name: &'static str,
    /// Its part of the requests.
    pub(crate) part: f64,
    pub(crate) objective_ms: f64,
    /// Shared parts and their length in tokens.
    pub(crate) shared: (u64, u32),
    /// Middle and most of a prompt's own tokens.
    pub(crate) own: (f64, f64),
    /// Time from the first event to the last, in milliseconds.
    pub(crate) stream_ms: f64,
}

pub(crate) const KINDS: [Kind; 3] = [
    Kind {
        name: "long",
        part: 0.25,
        objective_ms: 1_000.0,
        shared: (56, 5_400),
        own: (2_500.0, 54_000.0),
        stream_ms: 2_500.0,
    },
    Kind {
        name: "short",
        part: 0.4,
        objective_ms: 1_000.0,
        shared: (200, 200),
        own: (380.0, 3_300.0),
        stream_ms: 2_000.0,
    },
    Kind {
        name: "tag",
        part: 0.35,
        objective_ms: 2_000.0,
        shared: (120, 570),
        own: (800.0, 6_900.0),
        stream_ms: 200.0,
    },
];

/// A request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) at_ms: f64,
    pub(crate) customer: u32,
    pub(crate) kind: usize,
    pub(crate) prompt: Prompt,
    /// Which attempt of its caller it is, from 0.
    pub(crate) attempt: u32,
}

/// A load, and what happens to the servers meanwhile.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pattern {
    /// Requests a second.
    pub(crate) per_s: f64,
    pub(crate) seconds: u32,
    /// Customer 0 asks this many times its usual.
    pub(crate) hot: f64,
    /// Requests of one kind come this many times as often from 4 to 8 s.
    pub(crate) burst: (usize, f64),
    /// Part of the long requests that are about one shared part.
    pub(crate) one_part: f64,
    /// Part of the servers that are gone from 6 s on.
    pub(crate) gone: f64,
    /// How much slower a third of the servers work from 6 s on.
    pub(crate) slow: f64,
    /// Nobody asks before 3 s, and then all who would have asked ask at once.
    pub(crate) pent_up: bool,
    /// Refused callers repeat at once, this many times.
    pub(crate) repeats: u32,
    /// Part of the long prompts that have 50,000 tokens.
    pub(crate) huge: f64,
    /// Requests that a server runs at once.
    pub(crate) slots: u32,
}

pub(crate) const CALM: Pattern = Pattern {
    per_s: 75.0,
    seconds: 20,
    hot: 1.0,
    burst: (0, 1.0),
    one_part: 0.0,
    gone: 0.0,
    slow: 1.0,
    pent_up: false,
    repeats: 0,
    huge: 0.0,
    slots: 64,
};

/// Customers; the usual requests of each are half of those of the one before, down to a floor.
pub(crate) const CUSTOMERS: u32 = 16;

impl Pattern {
    /// Every request of the load, in their order.
    pub(crate) fn jobs(&self, seed: u64) -> Vec<Job> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut jobs = Vec::new();
        let step_ms = 10.0;
        let steps = self.seconds * 100;
        for step in 0..steps {
            let at_ms = f64::from(step) * step_ms;
            for kind in 0..KINDS.len() {
                for customer in 0..CUSTOMERS {
                    let mean = self.rate(kind, customer, at_ms) * step_ms / 1_000.0;
                    if rng.random::<f64>() < mean {
                        let at_ms = at_ms + rng.random::<f64>() * step_ms;
                        let at_ms = if self.pent_up {
                            at_ms.max(3_000.0)
                        } else {
                            at_ms
                        };
                        let prompt = self.prompt(kind, &mut rng);
                        let attempt = 0;
                        jobs.push(Job {
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
        jobs
    }

    /// Requests a second of a kind and customer.
    fn rate(&self, kind: usize, customer: u32, at_ms: f64) -> f64 {
        let weights: f64 = (0..CUSTOMERS).map(weight).sum();
        let mut rate = self.per_s * KINDS[kind].part * weight(customer) / weights;
        if customer == 0 {
            rate *= self.hot;
        }
        if kind == self.burst.0 && (4_000.0..8_000.0).contains(&at_ms) {
            rate *= self.burst.1;
        }
        rate
    }

    fn prompt(&self, kind: usize, rng: &mut ChaCha8Rng) -> Prompt {
        let Kind {
            shared: (parts, tokens),
            own: (middle, most),
            ..
        } = KINDS[kind];
        let part = if kind == 0 && rng.random::<f64>() < self.one_part {
            0
        } else {
            rng.random_range(0..parts)
        };
        // A sum of even draws is near enough to the bell of a logarithm.
        let bell: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
        let mut own = (middle * (1.4 * bell).exp()).clamp(20.0, most);
        if kind == 0 && rng.random::<f64>() < self.huge {
            own = 50_000.0;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "some thousand tokens"
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
