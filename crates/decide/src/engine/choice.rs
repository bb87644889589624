//! Choice of a model server for a prompt.

use mulberryyoke_model::ServerId;

use super::{Engine, Prompt};
use crate::place::weight;

/// How much a millisecond of reading counts beside one of waiting: reading also
/// delays those that come after.
const READ_WEIGHT: f64 = 2.0;

/// Part of the shared tokens that the home of a prompt is expected to keep though
/// this router has not sent them there; other routers may have.
const HOME_KEEPS: f64 = 0.5;

/// A server that could take a prompt.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The server.
    pub server: ServerId,
    /// What is believed of it.
    pub engine: &'a Engine,
    /// Time that is added to its cost for failures seen, in milliseconds.
    pub penalty_ms: f64,
}

/// A server and what a prompt would meet there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The server.
    pub server: ServerId,
    /// Time until the prompt is begun to be read, in milliseconds.
    pub wait_ms: f64,
    /// Time to read it, in milliseconds.
    pub read_ms: f64,
    /// Prompt tokens that have to be read.
    pub uncached: u32,
}

impl Choice {
    /// Time to the first token, in milliseconds.
    #[must_use]
    pub const fn first_ms(&self) -> f64 {
        self.wait_ms + self.read_ms
    }
}

/// Chooses the server where a prompt costs least: the time it waits, twice the
/// time it is read, and what is held against the server. `None` without candidates.
pub fn choose<'a>(
    prompt: &Prompt,
    candidates: impl Iterator<Item = Candidate<'a>> + Clone,
) -> Option<Choice> {
    let home = prompt.home().and_then(|key| {
        let servers = candidates.clone().map(|candidate| candidate.server);
        servers.max_by_key(|&server| weight(key, server))
    });
    let mut best: Option<(f64, Choice)> = None;
    for candidate in candidates {
        let choice = meet(prompt, &candidate, home == Some(candidate.server));
        let cost = choice.wait_ms + READ_WEIGHT * choice.read_ms + candidate.penalty_ms;
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

fn meet(prompt: &Prompt, candidate: &Candidate<'_>, is_home: bool) -> Choice {
    let engine = candidate.engine;
    let uncached = prompt.tokens - engine.cache.cached(prompt);
    let own = prompt.tokens - prompt.shared_tokens();
    let mut read_ms = engine.read_ms(uncached);
    if is_home {
        read_ms -= HOME_KEEPS * engine.rate.ms(uncached - own.min(uncached));
    }
    Choice {
        server: candidate.server,
        wait_ms: engine.wait_ms(),
        read_ms,
        uncached,
    }
}
