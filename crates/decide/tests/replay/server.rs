//! A simulated model server that prefills prompts in order of arrival.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use mulberryyoke_decide::engine::{Cache, Prompt, Transfer};

/// Prefill rate without attention cost.
const TOKENS_PER_MS: f64 = 56.6;

/// Attention cost in milliseconds per million token pairs.
const MS_PER_MEGAPAIR: f64 = 0.124;

/// Number of generated tokens of every request, of at most 300.
pub(crate) const OUTPUT_TOKENS: u32 = 200;

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
    /// Whether the server's requests take more than its memory.
    pub(crate) is_overfull: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) cache: Cache,
    /// Running requests: when they end, in microseconds, and the tokens that they take.
    running: BinaryHeap<Reverse<(u64, u32, u32)>>,
    taken: u32,
    memory_tokens: u32,
    /// Time at which each cached part was prefilled or fetched, in milliseconds.
    ready_ms: HashMap<u64, f64>,
    /// Time at which its link is idle, in milliseconds.
    link_idle_at_ms: f64,
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
    pub(crate) fn new(memory_tokens: u32, slots: u32) -> Self {
        Self {
            cache: Cache::new(memory_tokens),
            running: BinaryHeap::new(),
            taken: 0,
            memory_tokens,
            ready_ms: HashMap::new(),
            link_idle_at_ms: 0.0,
            fixed_ms: 0.0,
            slowdown: 1.0,
            is_down: false,
            idle_at_ms: 0.0,
            slots: (0..slots).map(|_| Reverse(0)).collect(),
            busy_ms: 0.0,
        }
    }

    /// Leading tokens of a prompt that another server can fetch now.
    pub(crate) fn ready_tokens(&self, prompt: &Prompt, now_ms: f64) -> u32 {
        let cached = self.cache.cached_tokens(prompt);
        let ready = prompt.shared.iter().take_while(|part| {
            let ready_ms = self.ready_ms.get(&part.key);
            ready_ms.is_some_and(|ready_ms| *ready_ms <= now_ms)
        });
        let ready: u32 = ready.map(|part| part.tokens).sum();
        ready.min(cached)
    }

    /// Fetches leading tokens of a prompt of which the source has `ready` tokens. The link carries
    /// one transfer at a time. Returns the time at which it ends and the number of tokens.
    fn fetch(
        &mut self,
        prompt: &Prompt,
        ready: u32,
        transfer: Transfer,
        now_ms: f64,
    ) -> (f64, u32) {
        let fetched = ready.saturating_sub(self.cache.cached_tokens(prompt));
        if fetched == 0 {
            return (now_ms, 0);
        }
        let start_ms = self.link_idle_at_ms.max(now_ms);
        self.link_idle_at_ms = start_ms + transfer.duration_ms(fetched);
        (self.link_idle_at_ms, fetched)
    }

    /// Runs a prompt that arrives now. Prefill starts when the parts that another server has ready
    /// are fetched, a slot is free and all earlier prompts are prefilled.
    pub(crate) fn execute(
        &mut self,
        prompt: &Prompt,
        now_ms: f64,
        stream_ms: f64,
        fetch: Option<(u32, Transfer)>,
    ) -> Execution {
        self.end_requests(now_ms);
        let (fetched_ms, fetched) = fetch.map_or((now_ms, 0), |(ready, transfer)| {
            self.fetch(prompt, ready, transfer, now_ms)
        });
        let prefilled = prompt.tokens - self.cache.cached_tokens(prompt) - fetched;
        for part in &prompt.shared {
            if !self.cache.contains(part) {
                self.ready_ms.remove(&part.key);
            }
        }
        self.cache.insert(&prompt.shared);
        let pairs = f64::from(prefilled) * (f64::from(prompt.tokens) - f64::from(prefilled) / 2.0);
        let prefill_ms =
            (f64::from(prefilled) / TOKENS_PER_MS + pairs * MS_PER_MEGAPAIR / 1e6) * self.slowdown;
        self.busy_ms += prefill_ms;
        let Reverse(slot_us) = self.slots.pop().expect("a server has slots");
        let start_ms = self.idle_at_ms.max(fetched_ms).max(from_us(slot_us));
        self.idle_at_ms = start_ms + prefill_ms;
        let first_ms = self.idle_at_ms + STEP_MS * self.slowdown + self.fixed_ms;
        for part in &prompt.shared {
            let ready_ms = self.ready_ms.entry(part.key).or_insert(first_ms);
            *ready_ms = ready_ms.min(first_ms);
        }
        let end_us = to_us(first_ms + stream_ms);
        self.slots.push(Reverse(end_us));
        let tokens = prompt.tokens + OUTPUT_TOKENS;
        let unshared = tokens - prompt.shared_tokens();
        self.running.push(Reverse((end_us, tokens, unshared)));
        self.taken += tokens;
        self.cache.set_taken(self.taken);
        let is_overfull = self.taken > self.memory_tokens;
        Execution {
            first_ms,
            prefilled,
            is_overfull,
        }
    }

    /// Releases the memory of the requests that have ended. What they leave is cached.
    pub(crate) fn end_requests(&mut self, now_ms: f64) {
        while let Some(&Reverse((end_us, tokens, unshared))) = self.running.peek() {
            if end_us > to_us(now_ms) {
                break;
            }
            self.running.pop();
            self.taken -= tokens;
            self.cache.record_unshared(f64::from(unshared));
            self.cache.set_taken(self.taken);
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
