//! Choice of a model server for a prompt.

use std::cmp::Reverse;

use mulberryyoke_model::{Millis, ServerId};

use super::{Engine, Prompt, pause};
use crate::placement::weight;

/// How much a millisecond of reading counts beside one of waiting: reading also
/// delays those that come after.
const READ_WEIGHT: f64 = 2.0;

/// Cost of a token that is read though another server keeps it, in milliseconds
/// of waiting. A shared part of some thousand tokens is worth more than an
/// answer on time.
const AGAIN_MS: f64 = 0.3;

/// As [`AGAIN_MS`], where the prompt would else be refused: a second server then gets to
/// keep the part, and what is read again is about what reading takes.
const AGAIN_SOON_MS: f64 = 0.03;

/// Cost of a token that was sent to a server lately, in milliseconds of waiting:
/// a shared part that no server keeps gets its home where little is sent.
const RECENT_MS: f64 = 0.002;

/// Advantage of the server of highest rendezvous weight for a prompt that no
/// server keeps, in milliseconds: routers that do not know of each other's
/// choices then agree.
const HOME_MS: f64 = 40.0;

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
    pub prefill_ms: f64,
    /// Prompt tokens that have to be read.
    pub uncached: u32,
    /// Those of them that another server keeps.
    pub recomputed: u32,
    /// Time until the servers, taken together, would begin to read it, in milliseconds.
    pub mean_wait_ms: f64,
}

impl Choice {
    /// Time to the first token, in milliseconds.
    #[must_use]
    pub const fn ttft_ms(&self) -> f64 {
        self.wait_ms + self.prefill_ms
    }
}

/// Servers among which one is chosen.
///
/// The load that it answers: a hundred gateways that know the same of hundreds of servers, and
/// hear of each other's choices a tenth of a second later. If each looked at all servers, all
/// would choose the same one meanwhile.
pub const MAX_CANDIDATES: usize = 16;

/// The servers among which one is chosen for a prompt: those that keep most of it, the home of
/// its last shared part, and for the rest some that `seed` draws, so that gateways which know
/// the same choose differently.
#[must_use]
pub fn shortlist<'a>(
    prompt: &Prompt,
    candidates: impl Iterator<Item = Candidate<'a>>,
    seed: u64,
) -> Vec<Candidate<'a>> {
    let mut ranked: Vec<_> = candidates
        .map(|candidate| {
            let cached = candidate.engine.cache.cached_tokens(prompt);
            (Reverse(cached), weight(seed, candidate.server), candidate)
        })
        .collect();
    if ranked.len() <= MAX_CANDIDATES {
        return ranked
            .into_iter()
            .map(|(_, _, candidate)| candidate)
            .collect();
    }
    let home = prompt.affinity_key().and_then(|key| {
        let servers = ranked.iter().map(|(_, _, candidate)| candidate.server);
        servers.max_by_key(|&server| weight(key, server))
    });
    ranked.sort_unstable_by_key(|(cached, drawn, candidate)| {
        (home != Some(candidate.server), *cached, *drawn)
    });
    ranked.truncate(MAX_CANDIDATES);
    ranked
        .into_iter()
        .map(|(_, _, candidate)| candidate)
        .collect()
}

/// Chooses the server where a prompt costs least: the time it waits, twice the
/// time it is read, what is read again, the streams there that come late, and what is
/// held against the server. `pause_ms` is the longest pause of a stream on time.
/// `None` without candidates.
pub fn choose<'a>(
    prompt: &Prompt,
    candidates: impl Iterator<Item = Candidate<'a>> + Clone,
    pause_ms: f64,
    now: Millis,
) -> Option<Choice> {
    least(prompt, candidates, pause_ms, AGAIN_MS, now)
}

/// As [`choose`], for a prompt that would come too late there: shared parts are read again
/// where that brings it forward.
pub fn choose_urgent<'a>(
    prompt: &Prompt,
    candidates: impl Iterator<Item = Candidate<'a>> + Clone,
    pause_ms: f64,
    now: Millis,
) -> Option<Choice> {
    least(prompt, candidates, pause_ms, AGAIN_SOON_MS, now)
}

fn least<'a>(
    prompt: &Prompt,
    candidates: impl Iterator<Item = Candidate<'a>> + Clone,
    pause_ms: f64,
    again_ms: f64,
    now: Millis,
) -> Option<Choice> {
    let kept = candidates
        .clone()
        .map(|candidate| candidate.engine.cache.cached_tokens(prompt));
    let kept = kept.max().unwrap_or(0);
    let is_new = kept < prompt.shared_tokens();
    let home = prompt.affinity_key().filter(|_| is_new).and_then(|key| {
        let servers = candidates.clone().map(|candidate| candidate.server);
        servers.max_by_key(|&server| weight(key, server))
    });
    let waits = candidates
        .clone()
        .map(|candidate| candidate.engine.wait_ms());
    let (count, sum) = waits.fold((0_u32, 0.0), |(count, sum), wait| (count + 1, sum + wait));
    let mean_wait_ms = sum / f64::from(count.max(1));
    let mut best: Option<(f64, Choice)> = None;
    for candidate in candidates {
        let choice = meet(prompt, &candidate, kept);
        let mut cost = choice.wait_ms
            + READ_WEIGHT * choice.prefill_ms
            + again_ms * f64::from(choice.recomputed)
            + pause::cost_ms(candidate.engine, choice.uncached, pause_ms)
            + candidate.penalty_ms;
        if is_new {
            cost += RECENT_MS * candidate.engine.recent_tokens.tokens(now);
        }
        if home == Some(candidate.server) {
            cost -= HOME_MS;
        }
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| Choice {
        mean_wait_ms,
        ..choice
    })
}

/// What a prompt would meet at a server; `kept` of its tokens are kept somewhere.
fn meet(prompt: &Prompt, candidate: &Candidate<'_>, kept: u32) -> Choice {
    let engine = candidate.engine;
    let cached = engine.cache.cached_tokens(prompt);
    let uncached = prompt.tokens - cached;
    Choice {
        server: candidate.server,
        wait_ms: engine.wait_ms(),
        prefill_ms: engine.first_token_ms(uncached),
        uncached,
        recomputed: kept.saturating_sub(cached),
        mean_wait_ms: 0.0,
    }
}
