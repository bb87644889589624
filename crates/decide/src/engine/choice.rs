//! Selection of a model server for a prompt.

use std::cmp::Reverse;

use mulberryyoke_model::{Millis, ServerId};

use super::fetch::{Fetch, Sources};
use super::{Engine, Prompt, pause};
use crate::placement::weight;

/// Cost of a millisecond of prefill relative to one of waiting. Prefill also delays the requests
/// queued behind it.
const PREFILL_WEIGHT: f64 = 2.0;

/// Cost of recomputing a token that another server has cached, in milliseconds of waiting. For
/// shared parts of several thousand tokens it outweighs a missed latency objective.
const RECOMPUTE_MS: f64 = 0.3;

/// As [`RECOMPUTE_MS`], for prompts that would otherwise be rejected: about the prefill time, so
/// that a second server caches the part.
const RECOMPUTE_URGENT_MS: f64 = 0.03;

/// Cost of a token recently sent to a server, in milliseconds of waiting. Places uncached shared
/// parts on servers with little traffic.
const RECENT_TOKEN_MS: f64 = 0.002;

/// Bonus for the server of highest rendezvous weight among those that lack a part of the prompt, in
/// milliseconds, if no server has all of it or for a copy. Makes gateways agree without knowing each
/// other's choices.
const AFFINITY_MS: f64 = 40.0;

/// A server eligible for a prompt.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The server.
    pub server: ServerId,
    /// Its estimated state.
    pub engine: &'a Engine,
    /// Cost added for recent failures, in milliseconds.
    pub penalty_ms: f64,
}

/// A selected server with the expected latency of the prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The server.
    pub server: ServerId,
    /// Time until prefill starts, in milliseconds. Includes a transfer.
    pub wait_ms: f64,
    /// Time from the start of prefill to the first token, in milliseconds.
    pub prefill_ms: f64,
    /// Prompt tokens that are neither cached nor fetched.
    pub uncached: u32,
    /// Uncached tokens that another server has cached.
    pub recomputed: u32,
    /// Time until the server has memory for the prompt, in milliseconds: 0 if it has, infinite if it
    /// never will.
    pub room_ms: f64,
    /// The server from which prompt parts are fetched.
    pub fetch_from: Option<ServerId>,
    /// Prompt tokens that are fetched.
    pub fetched: u32,
    /// Mean waiting time over all candidates, in milliseconds. A stalled server does not raise it.
    pub mean_wait_ms: f64,
}

impl Choice {
    /// Time to first token, in milliseconds.
    #[must_use]
    pub const fn ttft_ms(&self) -> f64 {
        self.wait_ms + self.prefill_ms
    }
}

/// Maximum number of servers that [`shortlist`] returns.
///
/// Gateways have the same estimates and learn of each other's choices with a delay. If each one
/// evaluated all servers, all would pick the same one in the meantime.
pub const MAX_CANDIDATES: usize = 16;

/// Selects up to [`MAX_CANDIDATES`] servers: of those without the last shared part, the one with
/// affinity for it, those with most of the prompt cached, then random ones. Half of them may be
/// replaced by servers that have memory for the prompt. `seed` differs between gateways, so that they
/// do not all pick the same server.
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
    let shared = prompt.shared_tokens();
    let preferred = prompt.affinity_key().and_then(|key| {
        let lacking = ranked
            .iter()
            .filter(|(Reverse(cached), _, _)| *cached < shared);
        let servers = lacking.map(|(_, _, candidate)| candidate.server);
        servers.max_by_key(|&server| weight(key, server))
    });
    ranked.sort_unstable_by_key(|(cached, rank, candidate)| {
        (preferred != Some(candidate.server), *cached, *rank)
    });
    // A prompt that fits on none of those with parts of it cached needs others.
    ranked[MAX_CANDIDATES / 2..]
        .sort_by_key(|(_, _, candidate)| candidate.engine.room_ms(prompt) > 0.0);
    ranked.truncate(MAX_CANDIDATES);
    ranked
        .into_iter()
        .map(|(_, _, candidate)| candidate)
        .collect()
}

/// Chooses the server with the lowest cost: waiting time, weighted prefill time, recomputed
/// tokens, delay of running streams, and the failure penalty. Servers without memory for the prompt
/// are chosen only if none has: then the one that has it first. `max_pause_ms` is the longest
/// acceptable pause of a stream. `None` without candidates.
pub fn choose<'a>(
    prompt: &Prompt,
    candidates: impl Iterator<Item = Candidate<'a>> + Clone,
    max_pause_ms: f64,
    now: Millis,
) -> Option<Choice> {
    choose_with(prompt, candidates, max_pause_ms, RECOMPUTE_MS, now)
}

/// As [`choose`], for a prompt that would miss its objective there: recomputes shared parts where
/// that lowers the latency.
pub fn choose_urgent<'a>(
    prompt: &Prompt,
    candidates: impl Iterator<Item = Candidate<'a>> + Clone,
    max_pause_ms: f64,
    now: Millis,
) -> Option<Choice> {
    choose_with(prompt, candidates, max_pause_ms, RECOMPUTE_URGENT_MS, now)
}

fn choose_with<'a>(
    prompt: &Prompt,
    candidates: impl Iterator<Item = Candidate<'a>> + Clone,
    max_pause_ms: f64,
    recompute_ms: f64,
    now: Millis,
) -> Option<Choice> {
    let max_cached = candidates
        .clone()
        .map(|candidate| candidate.engine.cache.cached_tokens(prompt));
    let max_cached = max_cached.max().unwrap_or(0);
    let is_new = max_cached < prompt.shared_tokens();
    let shared = prompt.shared_tokens();
    let preferred = prompt.affinity_key().and_then(|key| {
        let lacking = candidates
            .clone()
            .filter(|candidate| candidate.engine.cache.cached_tokens(prompt) < shared);
        let servers = lacking.map(|candidate| candidate.server);
        servers.max_by_key(|&server| weight(key, server))
    });
    let rooms = candidates
        .clone()
        .map(|candidate| candidate.engine.room_ms(prompt));
    let shortest_room_ms = rooms.fold(f64::INFINITY, f64::min);
    let sources = Sources::new(prompt, candidates.clone(), now);
    let waits = candidates
        .clone()
        .map(|candidate| candidate.engine.queue_ms());
    let (count, sum) = waits.fold((0_u32, 0.0), |(count, sum), wait| (count + 1, sum + wait));
    let mean_wait_ms = sum / f64::from(count.max(1));
    let mut best: Option<(f64, Choice)> = None;
    for candidate in candidates {
        if candidate.engine.room_ms(prompt) > shortest_room_ms {
            continue;
        }
        let cached = candidate.engine.cache.cached_tokens(prompt);
        let fetch = sources.fetch(&candidate, cached, now);
        let fetches = [None, fetch];
        for fetch in &fetches[..=usize::from(fetch.is_some())] {
            let choice = evaluate(prompt, &candidate, max_cached, *fetch);
            let mut cost = choice.wait_ms
                + PREFILL_WEIGHT * choice.prefill_ms
                + recompute_ms * f64::from(choice.recomputed)
                + pause::cost_ms(candidate.engine, choice.uncached, max_pause_ms)
                + candidate.penalty_ms
                + fetch.map_or(0.0, |fetch| fetch.copy_cost_ms());
            if is_new {
                cost += RECENT_TOKEN_MS * candidate.engine.recent_tokens.tokens(now);
            }
            if preferred == Some(candidate.server) && (is_new || fetch.is_some()) {
                cost -= AFFINITY_MS;
            }
            if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
                best = Some((cost, choice));
            }
        }
    }
    best.map(|(_, choice)| Choice {
        mean_wait_ms,
        ..choice
    })
}

/// Expected latency of a prompt at a server. `max_cached` is the largest number of its tokens that
/// any candidate has cached.
fn evaluate(
    prompt: &Prompt,
    candidate: &Candidate<'_>,
    max_cached: u32,
    fetch: Option<Fetch>,
) -> Choice {
    let engine = candidate.engine;
    let fetched = fetch.map_or(0, |fetch| fetch.tokens);
    let available = engine.cache.cached_tokens(prompt) + fetched;
    let uncached = prompt.tokens - available;
    Choice {
        server: candidate.server,
        wait_ms: engine.wait_ms() + fetch.map_or(0.0, |fetch| fetch.duration_ms),
        prefill_ms: engine.first_token_ms(uncached),
        uncached,
        recomputed: max_cached.saturating_sub(available),
        room_ms: engine.room_ms(prompt),
        fetch_from: fetch.map(|fetch| fetch.source),
        fetched,
        mean_wait_ms: 0.0,
    }
}
