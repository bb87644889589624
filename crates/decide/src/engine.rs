//! What a router believes of a model server: the prompt tokens it has yet to
//! read, the requests it runs, and the shared prompt parts that it keeps.

mod cache;
mod choice;
mod pace;
mod pause;
mod prompt;
mod recent;

pub use self::cache::Cache;
pub use self::choice::{Candidate, Choice, MOST, choose, choose_soon, narrow};
pub use self::pace::{Factor, Pace};
pub use self::prompt::{Name, Part, Prompt};
pub use self::recent::Recent;

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
    pub pace: Pace,
    /// How fast it reads beside the others of its pool.
    pub factor: Factor,
    /// Prompt tokens sent to it lately, by any router.
    pub recent: Recent,
    /// What this router has there.
    pub own: Load,
    /// What all other routers have there together.
    pub others: Load,
}

/// What routers have at a model server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Prompt tokens sent to it and not yet read.
    pub unread: u32,
    /// Requests sent to it whose first token has not come.
    pub queued: u32,
    /// Requests whose first token has come.
    pub running: u32,
}

impl Load {
    /// Adds what one router has.
    pub const fn add(&mut self, load: Self) {
        self.unread = self.unread.saturating_add(load.unread);
        self.queued = self.queued.saturating_add(load.queued);
        self.running = self.running.saturating_add(load.running);
    }

    /// Takes away what one router had.
    pub const fn take(&mut self, load: Self) {
        self.unread = self.unread.saturating_sub(load.unread);
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
            pace: Pace::default(),
            factor: Factor::default(),
            recent: Recent::default(),
            own: Load::default(),
            others: Load::default(),
        }
    }

    /// Prompt tokens that were sent by any router and not yet read.
    #[must_use]
    pub const fn backlog(&self) -> u32 {
        self.own.unread.saturating_add(self.others.unread)
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
    pub const fn beyond(&self) -> u32 {
        (self.requests() + 1).saturating_sub(self.slots)
    }

    /// Time until the server would begin to read a prompt sent now, in milliseconds.
    #[must_use]
    pub fn wait_ms(&self) -> f64 {
        let slot_ms = self.pace.hold_ms() / f64::from(self.slots.max(1));
        self.reading_ms(self.backlog()) + f64::from(self.beyond()) * slot_ms
    }

    /// Time to read a number of prompt tokens, in milliseconds.
    #[must_use]
    pub fn reading_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) / (self.pace.per_ms() * self.factor.of_pool())
    }

    /// Time to read a number of prompt tokens and make the first token, in milliseconds.
    #[must_use]
    pub fn read_ms(&self, tokens: u32) -> f64 {
        self.reading_ms(tokens) + FIRST_TOKEN_MS
    }

    /// Notes that a prompt is sent, and returns the tokens it has to read.
    pub fn send(&mut self, prompt: &Prompt, now: Millis) -> u32 {
        let tokens = prompt.tokens - self.cache.cached(prompt);
        self.cache.insert(&prompt.shared);
        self.cache.read(tokens);
        self.recent.add(tokens, now);
        self.own.unread += tokens;
        self.own.queued += 1;
        tokens
    }

    /// Notes the first token of a request that had `tokens` to read.
    pub const fn begin(&mut self, tokens: u32) {
        self.abandon(tokens);
        self.own.running += 1;
    }

    /// Notes the end of a request that had its first token.
    pub const fn end(&mut self) {
        self.own.running = self.own.running.saturating_sub(1);
    }

    /// Notes that a request ended before its first token.
    pub const fn abandon(&mut self, tokens: u32) {
        self.own.unread = self.own.unread.saturating_sub(tokens);
        self.own.queued = self.own.queued.saturating_sub(1);
    }
}
