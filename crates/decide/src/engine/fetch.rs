//! Choice of the source from which a server fetches prompt parts.

use mulberryyoke_model::{Millis, ServerId};

use super::{Candidate, Prompt};

/// Smallest gap that is fetched, in tokens: prefilling it takes about as long as a transfer.
const MIN_TOKENS: u32 = 200;

/// Failure penalty from which a server is not named as a source, in milliseconds.
const MAX_PENALTY_MS: f64 = 10.0;

/// Cost of a fetched token for the cache space of the copy, in milliseconds of waiting. For parts
/// of several thousand tokens a copy is made once the wait at their home exceeds that elsewhere by
/// a tenth of a second.
const COPY_TOKEN_MS: f64 = 0.03;

/// The transfer of leading prompt parts to a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Fetch {
    pub(super) source: ServerId,
    pub(super) tokens: u32,
    /// Time until it ends, after earlier transfers to the same server.
    pub(super) duration_ms: f64,
}

impl Fetch {
    /// Cost of the copy's cache space, in milliseconds of waiting.
    pub(super) fn copy_cost_ms(&self) -> f64 {
        COPY_TOKEN_MS * f64::from(self.tokens)
    }
}

/// The two servers that surely have most of a prompt cached, with the numbers of tokens. The second
/// is the source for the first.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Sources([Option<(ServerId, u32)>; 2]);

impl Sources {
    /// Finds the sources among the candidates; none in pools without transfers.
    pub(super) fn new<'a>(
        prompt: &Prompt,
        candidates: impl Iterator<Item = Candidate<'a>>,
        now: Millis,
    ) -> Self {
        let mut sources = Self::default();
        if prompt.shared_tokens() < MIN_TOKENS {
            return sources;
        }
        for candidate in candidates {
            let engine = candidate.engine;
            let is_healthy = candidate.penalty_ms < MAX_PENALTY_MS;
            if engine.transfer.is_none() || !is_healthy || !engine.source.is_available(now) {
                continue;
            }
            let tokens = engine.cache.settled_tokens(prompt, now);
            if tokens >= MIN_TOKENS {
                sources.insert(candidate.server, tokens);
            }
        }
        sources
    }

    fn insert(&mut self, server: ServerId, tokens: u32) {
        let [first, second] = &mut self.0;
        if first.is_none_or(|(_, most)| tokens > most) {
            *second = first.replace((server, tokens));
        } else if second.is_none_or(|(_, most)| tokens > most) {
            *second = Some((server, tokens));
        }
    }

    /// The transfer to a candidate that has `cached` tokens, if there is anything to fetch.
    pub(super) fn fetch(
        &self,
        candidate: &Candidate<'_>,
        cached: u32,
        now: Millis,
    ) -> Option<Fetch> {
        let sources = self.0.iter().flatten();
        let (source, settled) = sources
            .copied()
            .find(|(server, _)| *server != candidate.server)?;
        let tokens = settled.saturating_sub(cached);
        if tokens < MIN_TOKENS {
            return None;
        }
        let duration_ms = candidate.engine.fetch_ms(tokens, now)?;
        Some(Fetch {
            source,
            tokens,
            duration_ms,
        })
    }
}
