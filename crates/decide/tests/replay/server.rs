//! A model server: it reads prompts one after another in the order in which they came.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use mulberryyoke_decide::engine::{Cache, Prompt};

/// Prompt tokens read in a millisecond.
const RATE: f64 = 56.6;

/// Milliseconds for each million pairs of tokens of a prompt.
const PAIRS_MS: f64 = 0.124;

/// One step of the engine, in milliseconds.
const STEP_MS: f64 = 5.0;

/// Longest pause of a stream while prompts are read: the steps of one event, each with a
/// part of a prompt.
const PAUSE_MS: f64 = 400.0;

/// What a prompt meets at a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Met {
    /// When its first event is made, in milliseconds.
    pub(crate) first_ms: f64,
    /// Prompt tokens that were read.
    pub(crate) read: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) cache: Cache,
    /// How much slower than usual it reads.
    pub(crate) slow: f64,
    pub(crate) is_gone: bool,
    /// When it will have read all that it was sent.
    free_ms: f64,
    /// When each slot is free, in microseconds.
    slots: BinaryHeap<Reverse<u64>>,
    /// Time spent reading.
    pub(crate) busy_ms: f64,
}

impl Server {
    pub(crate) fn new(memory: u32, slots: u32) -> Self {
        Self {
            cache: Cache::new(memory),
            slow: 1.0,
            is_gone: false,
            free_ms: 0.0,
            slots: (0..slots).map(|_| Reverse(0)).collect(),
            busy_ms: 0.0,
        }
    }

    /// Takes a prompt that arrives now, whose stream takes so long: it is read once a slot is
    /// free and all before it are read.
    pub(crate) fn take(&mut self, prompt: &Prompt, now_ms: f64, stream_ms: f64) -> Met {
        let read = prompt.tokens - self.cache.cached_tokens(prompt);
        self.cache.insert(&prompt.shared);
        let pairs = f64::from(read) * (f64::from(prompt.tokens) - f64::from(read) / 2.0);
        let read_ms = (f64::from(read) / RATE + pairs * PAIRS_MS / 1e6) * self.slow;
        self.busy_ms += read_ms;
        let Reverse(slot_us) = self.slots.pop().expect("a server has slots");
        let begin_ms = self.free_ms.max(now_ms).max(from_us(slot_us));
        self.free_ms = begin_ms + read_ms;
        let first_ms = self.free_ms + STEP_MS * self.slow;
        self.slots.push(Reverse(to_us(first_ms + stream_ms)));
        Met { first_ms, read }
    }

    /// Longest pause of a stream that begins now, as far as is known now.
    pub(crate) fn pause_ms(&self, now_ms: f64) -> f64 {
        (self.free_ms - now_ms).clamp(STEP_MS, PAUSE_MS * self.slow)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "some seconds in microseconds"
)]
fn to_us(ms: f64) -> u64 {
    (ms * 1_000.0) as u64
}

#[expect(clippy::cast_precision_loss, reason = "some seconds in microseconds")]
fn from_us(us: u64) -> f64 {
    us as f64 / 1_000.0
}
