//! What a router believes of a model server: the prompt tokens it has yet to
//! read, the requests it runs, and the shared prompt parts that it keeps.

mod cache;
mod choice;
mod pace;
mod pause;
mod prompt;
mod recent;

pub use self::cache::Cache;
pub use self::choice::{Candidate, Choice, MAX_CANDIDATES, choose, choose_urgent, shortlist};
pub use self::pace::{PoolStats, RelativeSpeed};
pub use self::prompt::{Part, PartId, Prompt};
pub use self::recent::DecayedTokens;

use mulberryyoke_model::Millis;
use serde::{Deserialize, Serialize};

/// Time from the end of a prompt's reading to its first token, in milliseconds:
/// one step of the engine and the way there and back.
const FIRST_TOKEN_MS: f64 = 20.0;

/// The load that one model server is believed to have.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Requests that the server runs at once.
    pub slots: u32,
    /// Shared prompt parts that it keeps.
    pub cache: Cache,
    /// How fast servers of its pool read prompts and end requests.
    pub pool_stats: PoolStats,
    /// How fast it reads beside the others of its pool.
    pub relative_speed: RelativeSpeed,
    /// Prompt tokens sent to it lately, by any router.
    pub recent_tokens: DecayedTokens,
    /// What this router has there.
    pub own: Load,
    /// What all other routers have there together.
    pub others: Load,
}

/// What routers have at a model server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Prompt tokens sent to it and not yet read.
    pub prefill_tokens: u32,
    /// Requests sent to it whose first token has not come.
    pub queued: u32,
    /// Requests whose first token has come.
    pub running: u32,
}

impl Load {
    /// Adds what one router has.
    pub const fn add(&mut self, load: Self) {
        self.prefill_tokens = self.prefill_tokens.saturating_add(load.prefill_tokens);
        self.queued = self.queued.saturating_add(load.queued);
        self.running = self.running.saturating_add(load.running);
    }

    /// Takes away what one router had.
    pub const fn subtract(&mut self, load: Self) {
        self.prefill_tokens = self.prefill_tokens.saturating_sub(load.prefill_tokens);
        self.queued = self.queued.saturating_sub(load.queued);
        self.running = self.running.saturating_sub(load.running);
    }
}

impl Engine {
    /// An idle server that keeps nothing.
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

    /// Prompt tokens that were sent by any router and not yet read.
    #[must_use]
    pub const fn backlog(&self) -> u32 {
        self.own
            .prefill_tokens
            .saturating_add(self.others.prefill_tokens)
    }

    /// Requests that the server has, from any router.
    #[must_use]
    pub const fn requests(&self) -> u32 {
        let (own, others) = (&self.own, &self.others);
        own.queued + own.running + others.queued + others.running
    }

    /// Streams that the server runs, from any router.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.own.running.saturating_add(self.others.running)
    }

    /// Requests that would have to end before one sent now has a slot.
    #[must_use]
    pub const fn excess_requests(&self) -> u32 {
        (self.requests() + 1).saturating_sub(self.slots)
    }

    /// Time until the server would begin to read a prompt sent now, in milliseconds.
    #[must_use]
    pub fn wait_ms(&self) -> f64 {
        let slot_ms = self.pool_stats.mean_hold_ms() / f64::from(self.slots.max(1));
        self.prefill_ms(self.backlog()) + f64::from(self.excess_requests()) * slot_ms
    }

    /// Time to read a number of prompt tokens, in milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) / (self.pool_stats.tokens_per_ms() * self.relative_speed.ratio())
    }

    /// Time to read a number of prompt tokens and make the first token, in milliseconds.
    #[must_use]
    pub fn first_token_ms(&self, tokens: u32) -> f64 {
        self.prefill_ms(tokens) + FIRST_TOKEN_MS
    }

    /// Notes that a prompt is sent, and returns the tokens it has to read.
    pub fn record_send(&mut self, prompt: &Prompt, now: Millis) -> u32 {
        let tokens = prompt.tokens - self.cache.cached_tokens(prompt);
        self.cache.insert(&prompt.shared);
        self.cache.record_prefill(tokens);
        self.recent_tokens.add(tokens, now);
        self.own.prefill_tokens += tokens;
        self.own.queued += 1;
        tokens
    }

    /// Notes the first token of a request that had `tokens` to read.
    pub const fn record_first_token(&mut self, tokens: u32) {
        self.record_abort(tokens);
        self.own.running += 1;
    }

    /// Notes the end of a request that had its first token.
    pub const fn record_completion(&mut self) {
        self.own.running = self.own.running.saturating_sub(1);
    }

    /// Notes that a request ended before its first token.
    pub const fn record_abort(&mut self, tokens: u32) {
        self.own.prefill_tokens = self.own.prefill_tokens.saturating_sub(tokens);
        self.own.queued = self.own.queued.saturating_sub(1);
    }
}
