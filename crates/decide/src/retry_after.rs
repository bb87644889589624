//! When a refused caller should retry.
//!
//! The expected times here are those after which the same request would be accepted if nothing
//! else changed. [`spread`] turns one into the time that a caller is told.

use mulberryyoke_model::{Millis, saturating_u32};

/// Shortest and longest time for a rejected prompt, in milliseconds: the prefill time of a short
/// prompt and the half-life of customers' recorded usage.
const BUSY_MS: (f64, f64) = (100.0, 1_500.0);

/// Shortest and longest time for a prompt that no server has memory for, in milliseconds: the prefill
/// time of a short prompt and the duration of a long stream.
const ROOM_MS: (f64, f64) = (100.0, 10_000.0);

/// Shortest and longest time for a pool of which no server can be used, in milliseconds. A server
/// that comes back is used within this time.
const OUTAGE_MS: (f64, f64) = (200.0, 3_000.0);

/// Fraction of the duration of an outage after which a caller should retry.
const OUTAGE_FRACTION: f64 = 0.5;

/// Random part of the time, as a fraction of the expected time.
const SPREAD: f64 = 0.5;

/// Callers honour at most this fraction of the time that they have left.
const MAX_FRACTION_OF_REMAINING: f64 = 1.0 / 3.0;

/// Time until the best server, which exceeds the allowed wait by `excess_ms`, is within it, in
/// milliseconds.
#[must_use]
pub const fn busy_ms(excess_ms: f64) -> f64 {
    excess_ms.clamp(BUSY_MS.0, BUSY_MS.1)
}

/// Time until a server has memory for a prompt, in milliseconds, if that is expected after `room_ms`;
/// infinite if none ever will.
#[must_use]
pub const fn room_ms(room_ms: f64) -> f64 {
    if room_ms.is_infinite() {
        return room_ms;
    }
    room_ms.clamp(ROOM_MS.0, ROOM_MS.1)
}

/// Time after which to ask again for a pool of which no server can be used since `since`, in
/// milliseconds.
#[must_use]
pub fn outage_ms(since: Millis, now: Millis) -> f64 {
    let elapsed = u32::try_from(now.saturating_sub(since)).unwrap_or(u32::MAX);
    (f64::from(elapsed) * OUTAGE_FRACTION).clamp(OUTAGE_MS.0, OUTAGE_MS.1)
}

/// Time that a caller with `remaining_ms` left is told instead of `expected_ms`, in milliseconds.
/// `random` is a random number from 0 to 1; it spreads the retries of callers refused together.
/// The result is at least the expected time, except where that would exceed the time that the
/// caller can wait.
#[must_use]
pub fn spread(expected_ms: f64, remaining_ms: u64, random: f64) -> u32 {
    let remaining_ms = u32::try_from(remaining_ms).unwrap_or(u32::MAX);
    let longest_ms = f64::from(remaining_ms) * MAX_FRACTION_OF_REMAINING;
    let shortest_ms = expected_ms.min(longest_ms / (1.0 + SPREAD));
    saturating_u32(shortest_ms * (1.0 + SPREAD * random))
}
