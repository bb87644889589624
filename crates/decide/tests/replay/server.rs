//! A model server: it reads prompts one after another in the order in which they came.

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
    /// Time spent reading.
    pub(crate) busy_ms: f64,
}

impl Server {
    pub(crate) fn new(memory: u32) -> Self {
        Self {
            cache: Cache::new(memory),
            slow: 1.0,
            is_gone: false,
            free_ms: 0.0,
            busy_ms: 0.0,
        }
    }

    /// Takes a prompt that arrives now.
    pub(crate) fn take(&mut self, prompt: &Prompt, now_ms: f64) -> Met {
        let read = prompt.tokens - self.cache.cached(prompt);
        self.cache.insert(&prompt.shared);
        let pairs = f64::from(read) * (f64::from(prompt.tokens) - f64::from(read) / 2.0);
        let read_ms = (f64::from(read) / RATE + pairs * PAIRS_MS / 1e6) * self.slow;
        self.busy_ms += read_ms;
        self.free_ms = self.free_ms.max(now_ms) + read_ms;
        Met {
            first_ms: self.free_ms + STEP_MS * self.slow,
            read,
        }
    }

    /// Longest pause of a stream that begins now, as far as is known now.
    pub(crate) fn pause_ms(&self, now_ms: f64) -> f64 {
        (self.free_ms - now_ms).clamp(STEP_MS, PAUSE_MS * self.slow)
    }
}
