//! A gateway's estimate of a model server's state: prefill backlog, running requests and
//! cached prompt prefixes.

mod cache;
mod choice;
mod decayed_tokens;
mod latency;
mod pause;
mod pool_stats;
mod prompt;
mod relative_speed;

pub use self::cache::Cache;
pub use self::choice::{Candidate, Choice, MAX_CANDIDATES, choose, choose_urgent, shortlist};
pub use self::decayed_tokens::DecayedTokens;
pub use self::latency::Latency;
pub use self::pool_stats::PoolStats;
pub use self::prompt::{Part, PartId, Prompt};
pub use self::relative_speed::RelativeSpeed;

use mulberryyoke_model::Millis;
use serde::{Deserialize, Serialize};

/// Estimated state of one model server.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Shared prompt parts in its prefix cache.
    pub cache: Cache,
    /// Time to first token and request duration in its pool.
    pub pool_stats: PoolStats,
    /// Its speed relative to the pool.
    pub relative_speed: RelativeSpeed,
    /// Prompt tokens sent to it recently, by any gateway.
    pub recent_tokens: DecayedTokens,
    /// Load from this gateway.
    pub own: Load,
    /// Combined load from all other gateways.
    pub others: Load,
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
    pub fn new(slots: u32, cache_tokens: u32) -> Self {
        Self {
            slots,
            cache: Cache::new(cache_tokens),
            pool_stats: PoolStats::default(),
            relative_speed: RelativeSpeed::default(),
            recent_tokens: DecayedTokens::default(),
            own: Load::default(),
            others: Load::default(),
        }
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

    /// Expected time until prefill of a new prompt starts, in milliseconds.
    #[must_use]
    pub fn wait_ms(&self) -> f64 {
        let slot_ms = self.pool_stats.mean_hold_ms() / f64::from(self.slots.max(1));
        self.prefill_ms(self.backlog()) + f64::from(self.excess_requests()) * slot_ms
    }

    /// Prefill time for `tokens` prompt tokens, in milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, tokens: u32) -> f64 {
        let tokens_per_ms = self.pool_stats.latency().tokens_per_ms();
        f64::from(tokens) / (tokens_per_ms * self.relative_speed.ratio())
    }

    /// Time from the start of prefill to the first token, in milliseconds.
    #[must_use]
    pub fn first_token_ms(&self, tokens: u32) -> f64 {
        let fixed_ms = self.pool_stats.latency().fixed_ms();
        self.prefill_ms(tokens) + fixed_ms / self.relative_speed.ratio()
    }

    /// Records a prompt sent to the server and returns the number of tokens to prefill.
    pub fn record_send(&mut self, prompt: &Prompt, now: Millis) -> u32 {
        let tokens = prompt.tokens - self.cache.cached_tokens(prompt);
        self.cache.insert(&prompt.shared);
        self.cache.record_prefill(tokens);
        self.recent_tokens.add(tokens, now);
        self.own.prefill_tokens += tokens;
        self.own.queued += 1;
        tokens
    }

    /// Records the first token of a request that had `tokens` to prefill.
    pub const fn record_first_token(&mut self, tokens: u32) {
        self.record_abort(tokens);
        self.own.running += 1;
    }

    /// Records the end of a request that had produced its first token.
    pub const fn record_completion(&mut self) {
        self.own.running = self.own.running.saturating_sub(1);
    }

    /// Records a request that ended before its first token.
    pub const fn record_abort(&mut self, tokens: u32) {
        self.own.prefill_tokens = self.own.prefill_tokens.saturating_sub(tokens);
        self.own.queued = self.own.queued.saturating_sub(1);
    }
}
