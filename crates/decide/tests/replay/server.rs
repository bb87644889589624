//! A simulated model server that prefills prompts in order of arrival.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use mulberryyoke_decide::engine::{Cache, Prompt};

/// Prefill rate without attention cost.
const TOKENS_PER_MS: f64 = 56.6;

/// Attention cost in milliseconds per million token pairs.
const MS_PER_MEGAPAIR: f64 = 0.124;

/// Duration of a decode step.
const STEP_MS: f64 = 5.0;

/// Longest pause of a stream during prefill: the steps of one event, each with a prompt chunk.
const PAUSE_MS: f64 = 400.0;

/// Result of sending a prompt to a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Execution {
    /// Time of the first event, in milliseconds.
    pub(crate) first_ms: f64,
    /// Number of prefilled prompt tokens.
    pub(crate) prefilled: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) cache: Cache,
    /// Time from the end of prefill to the first token, beyond a decode step, in milliseconds.
    pub(crate) fixed_ms: f64,
    /// Factor by which it is slower than usual.
    pub(crate) slowdown: f64,
    pub(crate) is_down: bool,
    /// Time at which its prefill queue is empty.
    idle_at_ms: f64,
    /// Time at which each slot is free, in microseconds.
    slots: BinaryHeap<Reverse<u64>>,
    /// Time spent on prefill, in milliseconds.
    pub(crate) busy_ms: f64,
}

impl Server {
    pub(crate) fn new(cache_tokens: u32, slots: u32) -> Self {
        Self {
            cache: Cache::new(cache_tokens),
            fixed_ms: 0.0,
            slowdown: 1.0,
            is_down: false,
            idle_at_ms: 0.0,
            slots: (0..slots).map(|_| Reverse(0)).collect(),
            busy_ms: 0.0,
        }
    }

    /// Runs a prompt that arrives now. Prefill starts when a slot is free and all earlier prompts are
    /// prefilled.
    pub(crate) fn execute(&mut self, prompt: &Prompt, now_ms: f64, stream_ms: f64) -> Execution {
        let prefilled = prompt.tokens - self.cache.cached_tokens(prompt);
        self.cache.insert(&prompt.shared);
        let pairs = f64::from(prefilled) * (f64::from(prompt.tokens) - f64::from(prefilled) / 2.0);
        let prefill_ms =
            (f64::from(prefilled) / TOKENS_PER_MS + pairs * MS_PER_MEGAPAIR / 1e6) * self.slowdown;
        self.busy_ms += prefill_ms;
        let Reverse(slot_us) = self.slots.pop().expect("a server has slots");
        let start_ms = self.idle_at_ms.max(now_ms).max(from_us(slot_us));
        self.idle_at_ms = start_ms + prefill_ms;
        let first_ms = self.idle_at_ms + STEP_MS * self.slowdown + self.fixed_ms;
        self.slots.push(Reverse(to_us(first_ms + stream_ms)));
        Execution {
            first_ms,
            prefilled,
        }
    }

    /// Longest pause of a stream that starts now, given the current prefill queue.
    pub(crate) fn pause_ms(&self, now_ms: f64) -> f64 {
        (self.idle_at_ms - now_ms).clamp(STEP_MS, PAUSE_MS * self.slowdown)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "seconds in microseconds"
)]
fn to_us(ms: f64) -> u64 {
    (ms * 1_000.0) as u64
}

#[expect(clippy::cast_precision_loss, reason = "seconds in microseconds")]
fn from_us(us: u64) -> f64 {
    us as f64 / 1_000.0
}
