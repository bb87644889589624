//! Cost of prefill for the streams running on the same server. With chunked prefill an engine
//! decodes one token of each stream per prompt chunk, so that a large prefill backlog delays the
//! next event of every stream.

use super::Engine;

/// Prefill backlog at which the first streams, and at which all streams, are late, as fractions of
/// the longest acceptable pause. Lower bounds divert prompts although no stream would be late:
/// the server interleaves prefill with generation, so an event waits only for the prefill in its own
/// steps.
const LATE_FRACTIONS: (f64, f64) = (0.7, 1.2);

/// Cost of one late stream, in milliseconds of waiting: about that of recomputing 800 tokens.
const LATE_STREAM_MS: f64 = 250.0;

/// Cost of the streams that become late if the server prefills `tokens` more, in milliseconds of
/// waiting. `max_pause_ms` is the longest acceptable pause of a stream.
pub(super) fn cost_ms(engine: &Engine, tokens: u32, max_pause_ms: f64) -> f64 {
    let before = late_fraction(engine, 0, max_pause_ms);
    let after = late_fraction(engine, tokens, max_pause_ms);
    f64::from(engine.running()) * LATE_STREAM_MS * (after - before)
}

/// Fraction of a server's streams that are late.
fn late_fraction(engine: &Engine, tokens: u32, max_pause_ms: f64) -> f64 {
    let prefill_ms = engine.prefill_ms(engine.backlog().saturating_add(tokens));
    let (none, all) = LATE_FRACTIONS;
    ((prefill_ms / max_pause_ms - none) / (all - none)).clamp(0.0, 1.0)
}
