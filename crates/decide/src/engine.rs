//! What a router believes of a model server: the prompt tokens it has yet to
//! read, the requests it runs, and the shared prompt parts that it keeps.

mod cache;
mod choice;
mod prompt;
mod rate;

pub use self::cache::Cache;
pub use self::choice::{Candidate, Choice, choose};
pub use self::prompt::{Part, Prompt};
pub use self::rate::Rate;

/// Time from the end of a prompt's reading to its first token, in milliseconds:
/// one step of the engine and the way there and back.
const FIRST_TOKEN_MS: f64 = 20.0;

/// Time that a request beyond the free slots waits for one that ends, in milliseconds.
const SLOT_MS: f64 = 40.0;

/// The load that one model server is believed to have.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Requests that the server runs at once.
    pub slots: u32,
    /// Shared prompt parts that it keeps.
    pub cache: Cache,
    /// How fast it reads prompts.
    pub rate: Rate,
    /// Prompt tokens sent to it by this router and not yet read.
    pub unread: u32,
    /// Requests sent to it by this router whose first token has not come.
    pub queued: u32,
    /// Requests of this router whose first token has come.
    pub running: u32,
    /// As `unread`, by all other routers.
    pub others_unread: u32,
    /// As `queued` and `running` together, by all other routers.
    pub others_requests: u32,
}

impl Engine {
    /// An idle server that keeps nothing.
    #[must_use]
    pub fn new(slots: u32, cache_tokens: u32) -> Self {
        Self {
            slots,
            cache: Cache::new(cache_tokens),
            rate: Rate::default(),
            unread: 0,
            queued: 0,
            running: 0,
            others_unread: 0,
            others_requests: 0,
        }
    }

    /// Prompt tokens that were sent by any router and not yet read.
    #[must_use]
    pub const fn backlog(&self) -> u32 {
        self.unread.saturating_add(self.others_unread)
    }

    /// Requests that the server has, from any router.
    #[must_use]
    pub const fn requests(&self) -> u32 {
        self.queued + self.running + self.others_requests
    }

    /// Time until the server would begin to read a prompt sent now, in milliseconds.
    #[must_use]
    pub fn wait_ms(&self) -> f64 {
        let beyond = (self.requests() + 1).saturating_sub(self.slots);
        self.rate.ms(self.backlog()) + f64::from(beyond) * SLOT_MS
    }

    /// Time to read a number of prompt tokens and make the first token, in milliseconds.
    #[must_use]
    pub fn read_ms(&self, tokens: u32) -> f64 {
        self.rate.ms(tokens) + FIRST_TOKEN_MS
    }

    /// Notes that a prompt is sent, and returns the tokens it has to read.
    pub fn send(&mut self, prompt: &Prompt) -> u32 {
        let tokens = prompt.tokens - self.cache.cached(prompt);
        self.cache.insert(prompt);
        self.unread += tokens;
        self.queued += 1;
        tokens
    }

    /// Notes the first token of a request that had `tokens` to read.
    pub fn begin(&mut self, tokens: u32) {
        self.unread = self.unread.saturating_sub(tokens);
        self.queued = self.queued.saturating_sub(1);
        self.running += 1;
    }

    /// Notes the end of a request that had its first token.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Notes that a request ended before its first token.
    pub fn abandon(&mut self, tokens: u32) {
        self.unread = self.unread.saturating_sub(tokens);
        self.queued = self.queued.saturating_sub(1);
    }
}
