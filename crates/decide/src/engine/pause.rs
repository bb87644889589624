//! What reading prompts costs the streams that run beside it: an engine makes one token
//! of each stream for each part of a prompt that it reads, so that a long reading in a row
//! holds up the next event of all its streams. Without it 22% of the streams of the longest
//! prompts paused for too long before 55 servers of a quiet day, and 4% began too late.

use super::Engine;

/// Time of reading in a row from which streams begin to come late, and from which all do,
/// as parts of the longest pause of a stream on time. Reading holds up one event by no more
/// than its own steps: before nine servers pauses came to 500 ms at most, of 600 allowed, so
/// that a bound from half of the longest pause on sent prompts away from servers for nothing.
/// Benefit earned less what it cost, mean of fifteen days, with 0.5 and 0.9 and with these: 0.69
/// and 0.70, 0.673 and 0.687, 0.674 and 0.692 on three fleets; of what the worst kind was owed
/// 0.59 and 0.66, 0.47 and 0.58, 0.48 and 0.58.
const LATE_PARTS: (f64, f64) = (0.7, 1.2);

/// Cost of one stream that comes late, in milliseconds of waiting: about what reading
/// 800 shared tokens again costs.
const STREAM_MS: f64 = 250.0;

/// Cost of the streams of a server that come late when it has to read `tokens` more, in
/// milliseconds of waiting. `pause_ms` is the longest pause of a stream on time.
pub(super) fn cost_ms(engine: &Engine, tokens: u32, pause_ms: f64) -> f64 {
    let before = late_part(engine, 0, pause_ms);
    let after = late_part(engine, tokens, pause_ms);
    f64::from(engine.running()) * STREAM_MS * (after - before)
}

/// Part of a server's streams that come late.
fn late_part(engine: &Engine, tokens: u32, pause_ms: f64) -> f64 {
    let reading_ms = engine.prefill_ms(engine.backlog().saturating_add(tokens));
    let (none, all) = LATE_PARTS;
    ((reading_ms / pause_ms - none) / (all - none)).clamp(0.0, 1.0)
}
