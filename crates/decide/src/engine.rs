//! A gateway's estimate of a model server's state: prefill backlog, running requests and
//! cached prompt prefixes.

mod backlog;
mod cache;
mod choice;
mod decayed_tokens;
mod fetch;
mod footprint;
mod latency;
mod memory;
mod news;
mod pause;
mod pool_stats;
mod position;
mod prompt;
mod reading;
mod reservation;
mod source;
mod speed;
mod transfer;

pub use self::cache::Cache;
pub use self::choice::{Candidate, Choice, MAX_CANDIDATES, choose, choose_urgent, shortlist};
pub use self::decayed_tokens::DecayedTokens;
pub use self::footprint::Footprint;
pub use self::latency::Latency;
pub use self::memory::Memory;
pub use self::news::News;
pub use self::pool_stats::PoolStats;
pub use self::position::Position;
pub use self::prompt::{Part, PartId, Prompt};
pub use self::reading::Reading;
pub use self::reservation::Reservation;
pub use self::source::Source;
pub use self::speed::Speed;
pub use self::transfer::Transfer;

use mulberryyoke_model::{Millis, saturating_u32, saturating_u64};
use serde::{Deserialize, Serialize};

use self::backlog::Backlog;

/// Time after the first token of a prompt until its parts surely can be fetched from the server.
const SETTLING_MS: u64 = 300;

/// Estimated state of one model server.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Shared prompt parts in its prefix cache.
    pub cache: Cache,
    /// Memory taken by its requests.
    pub memory: Memory,
    /// Transfer of cached parts in its pool; `None` if its servers fetch nothing.
    pub transfer: Option<Transfer>,
    /// Whether other servers may fetch parts from it.
    pub source: Source,
    /// When the last transfer to it ends. It runs one at a time.
    fetching_until: Millis,
    /// Average memory of requests in its pool.
    pub footprint: Footprint,
    /// Time to first token and request duration in its pool.
    pub pool_stats: PoolStats,
    /// Its speed relative to the pool.
    pub speed: Speed,
    /// Prompt tokens sent to it recently, by any gateway.
    pub recent_tokens: DecayedTokens,
    /// Load from this gateway, as of the last [`Self::advance`].
    pub own: Load,
    /// Combined load from all other gateways.
    pub others: Load,
    /// When `others` was set.
    others_at: Option<Millis>,
    /// This gateway's prompts without a first token.
    prompts: Backlog,
    /// The time that estimates refer to.
    now: Millis,
}

/// Outstanding work at a model server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Prompt tokens waiting for prefill.
    pub prefill_tokens: u32,
    /// Requests that have not produced their first token.
    pub queued: u32,
    /// Requests that have produced their first token.
    pub running: u32,
}

impl Load {
    /// Queued and running requests.
    #[must_use]
    pub const fn requests(&self) -> u32 {
        self.queued.saturating_add(self.running)
    }

    /// Adds the load from one gateway.
    pub const fn add(&mut self, load: Self) {
        self.prefill_tokens = self.prefill_tokens.saturating_add(load.prefill_tokens);
        self.queued = self.queued.saturating_add(load.queued);
        self.running = self.running.saturating_add(load.running);
    }

    /// Subtracts the load from one gateway, saturating at zero.
    pub const fn subtract(&mut self, load: Self) {
        self.prefill_tokens = self.prefill_tokens.saturating_sub(load.prefill_tokens);
        self.queued = self.queued.saturating_sub(load.queued);
        self.running = self.running.saturating_sub(load.running);
    }
}

impl Engine {
    /// An idle server with an empty cache.
    #[must_use]
    pub fn new(slots: u32, memory_tokens: u32) -> Self {
        Self {
            slots,
            cache: Cache::new(memory_tokens),
            memory: Memory::new(memory_tokens),
            transfer: None,
            source: Source::default(),
            fetching_until: 0,
            footprint: Footprint::default(),
            pool_stats: PoolStats::default(),
            speed: Speed::default(),
            recent_tokens: DecayedTokens::default(),
            own: Load::default(),
            others: Load::default(),
            others_at: None,
            prompts: Backlog::default(),
            now: 0,
        }
    }

    /// Sets the load from all other gateways, and counts what their requests have processed since
    /// it was last set: by Little's law, requests end at their number divided by their duration.
    pub fn set_others(&mut self, others: Load, now: Millis) {
        if let Some(at) = self.others_at.replace(now) {
            let elapsed_ms = as_f64(now.saturating_sub(at));
            let duration_ms = self.wait_ms() + self.pool_stats.mean_hold_ms();
            let ended = f64::from(self.others.requests()) * elapsed_ms / duration_ms;
            self.cache
                .record_unshared(ended * self.footprint.mean_unshared());
        }
        self.others = others;
        // The queued prompts of others may be much longer than the mean.
        let mean_tokens = self.footprint.mean_tokens();
        let queued = (f64::from(others.queued) * mean_tokens).max(f64::from(others.prefill_tokens));
        let running = f64::from(others.running) * mean_tokens;
        self.memory.set_others(saturating_u32(queued + running));
        self.cache.set_taken(self.memory.taken());
    }

    /// Time until the server has fetched `tokens` prompt tokens, in milliseconds; `None` if its pool
    /// has no transfers.
    #[must_use]
    pub fn fetch_ms(&self, tokens: u32, now: Millis) -> Option<f64> {
        let queued_ms = as_f64(self.fetching_until.saturating_sub(now));
        let transfer = self.transfer?;
        Some(queued_ms + transfer.duration_ms(tokens))
    }

    /// Records that the server fetches the `tokens` prompt tokens after those that it has cached.
    /// Their parts count as cached for a prompt that is recorded afterwards. Returns the time that it
    /// takes, in milliseconds.
    pub fn record_fetch(&mut self, prompt: &Prompt, tokens: u32, now: Millis) -> f64 {
        let fetch_ms = self.fetch_ms(tokens, now).unwrap_or(0.0);
        self.fetching_until = now + saturating_u64(fetch_ms);
        let mut left = self.cache.cached_tokens(prompt) + tokens;
        let fetched = prompt.shared.iter().take_while(|part| {
            let is_fetched = part.tokens <= left;
            left = left.saturating_sub(part.tokens);
            is_fetched
        });
        self.cache.insert(&prompt.shared[..fetched.count()]);
        fetch_ms
    }

    /// Records that another gateway sent the server a prompt with these shared parts.
    pub fn record_peer_prefill(&mut self, shared: &[Part], now: Millis) {
        let missing = shared.iter().filter(|part| !self.cache.contains(part));
        let tokens = missing.map(|part| part.tokens);
        let tokens = tokens.fold(0, u32::saturating_add);
        let prefill_ms = saturating_u64(self.wait_ms() + self.first_token_ms(tokens));
        self.cache.insert(shared);
        self.settle(shared, now + prefill_ms);
    }

    /// Records that the server prefills these shared parts by `at`.
    pub fn settle(&mut self, shared: &[Part], at: Millis) {
        self.cache.settle(shared, at + SETTLING_MS);
    }

    /// Expected time until the server has memory for a prompt, in milliseconds: 0 if it has, infinite
    /// if the prompt is larger than its whole memory.
    #[must_use]
    pub fn room_ms(&self, prompt: &Prompt) -> f64 {
        let reservation = self.footprint.reservation(prompt);
        let hold_ms = self.pool_stats.mean_hold_ms();
        self.memory.room_ms(prompt, reservation, hold_ms)
    }

    /// Counts the memory that a request is expected to take, until it is released.
    pub fn reserve(&mut self, prompt: &Prompt) -> Reservation {
        let reservation = self.footprint.reservation(prompt);
        self.memory.acquire(reservation);
        self.cache.set_taken(self.memory.taken());
        reservation
    }

    /// Releases the memory of a request. If it `has_run`, what it leaves there is cached.
    pub fn release(&mut self, reservation: Reservation, has_run: bool) {
        self.memory.release(reservation);
        if has_run {
            self.cache.record_unshared(f64::from(reservation.unshared));
        }
        self.cache.set_taken(self.memory.taken());
    }

    /// Sets the time that estimates refer to.
    pub fn advance(&mut self, now: Millis) {
        self.now = self.now.max(now);
    }

    fn update_prefill(&mut self) {
        self.own.prefill_tokens = self.prompts.tokens();
    }

    /// Prompt tokens waiting for prefill, from all gateways.
    #[must_use]
    pub const fn backlog(&self) -> u32 {
        self.own
            .prefill_tokens
            .saturating_add(self.others.prefill_tokens)
    }

    /// Queued and running requests, from all gateways.
    #[must_use]
    pub const fn requests(&self) -> u32 {
        let (own, others) = (&self.own, &self.others);
        own.queued + own.running + others.queued + others.running
    }

    /// Running streams, from all gateways.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.own.running.saturating_add(self.others.running)
    }

    /// Number of requests that must finish before a new one gets a slot.
    #[must_use]
    pub const fn excess_requests(&self) -> u32 {
        (self.requests() + 1).saturating_sub(self.slots)
    }

    /// Expected time until prefill of a new prompt starts, in milliseconds: that of the queue, and
    /// the time by which a first token is overdue. A late first token shows that the server is
    /// slower than estimated, or stalled.
    #[must_use]
    pub fn wait_ms(&self) -> f64 {
        self.queue_ms() + self.prompts.overdue_ms(self.now)
    }

    /// Time in which the queue is expected to be prefilled and to get slots, in milliseconds.
    #[must_use]
    pub fn queue_ms(&self) -> f64 {
        self.prefill_ms(self.backlog()) + self.slot_ms()
    }

    /// Expected time until a new request gets a slot, in milliseconds.
    fn slot_ms(&self) -> f64 {
        let slot_ms = self.pool_stats.mean_hold_ms() / f64::from(self.slots.max(1));
        f64::from(self.excess_requests()) * slot_ms
    }

    /// Prefill time for `tokens` prompt tokens, in milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, tokens: u32) -> f64 {
        let tokens_per_ms = self.pool_stats.latency().tokens_per_ms();
        f64::from(tokens) / (tokens_per_ms * self.speed.ratio(self.now))
    }

    /// Time from the start of prefill to the first token, in milliseconds.
    #[must_use]
    pub fn first_token_ms(&self, tokens: u32) -> f64 {
        let fixed_ms = self.pool_stats.latency().fixed_ms();
        self.prefill_ms(tokens) + fixed_ms / self.speed.ratio(self.now)
    }

    /// Records a prompt sent to the server and returns its place in the backlog.
    pub fn record_send(&mut self, prompt: &Prompt, now: Millis) -> Position {
        self.advance(now);
        let tokens = prompt.tokens - self.cache.cached_tokens(prompt);
        self.cache.insert(&prompt.shared);
        self.recent_tokens.add(tokens, now);
        let first_token_ms = self.wait_ms() + self.first_token_ms(tokens);
        let position = self.prompts.add(tokens, first_token_ms, self.now);
        self.update_prefill();
        self.own.queued += 1;
        position
    }

    /// Excludes a request whose first token is not observed, because its response is no stream,
    /// from the overdue ones.
    pub fn set_unobserved(&mut self, position: Position) {
        self.prompts.set_unobserved(position);
    }

    /// Delays the expected prefill and first token of a request by those `ms` in which its prompt parts
    /// are fetched.
    pub fn delay(&mut self, position: Position, ms: f64) {
        self.prompts.delay(position, ms);
    }

    /// Records the first token of a request.
    pub fn record_first_token(&mut self, position: Position) {
        self.prompts.record_first_token(position);
        self.record_abort(position);
        self.own.running += 1;
    }

    /// Records the end of a request that had produced its first token.
    pub const fn record_completion(&mut self) {
        self.own.running = self.own.running.saturating_sub(1);
    }

    /// Records a request that ended before its first token.
    pub fn record_abort(&mut self, position: Position) {
        self.prompts.remove(position);
        self.update_prefill();
        self.own.queued = self.own.queued.saturating_sub(1);
    }
}

#[expect(clippy::cast_precision_loss, reason = "some seconds in milliseconds")]
const fn as_f64(ms: Millis) -> f64 {
    ms as f64
}
