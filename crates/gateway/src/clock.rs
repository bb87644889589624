//! Monotonic time in whole milliseconds, for values shared between tasks.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// Time in which the machine is taken to have been suspended, in milliseconds.
static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

/// Lets the boot clock go on by so many milliseconds and no other clock, as after a suspension
/// of the machine, which a process cannot bring about for itself alone. For tests.
#[doc(hidden)]
pub fn suspend(ms: u64) {
    SUSPENDED_MS.fetch_add(ms, Ordering::Relaxed);
}

static START: OnceLock<Instant> = OnceLock::new();

fn start() -> Instant {
    *START.get_or_init(Instant::now)
}

/// Milliseconds since the process first asked.
pub(crate) fn now_ms() -> u64 {
    ms(Instant::now())
}

/// An instant in milliseconds since the process first asked; 0 for earlier ones.
pub(crate) fn ms(at: Instant) -> u64 {
    let elapsed = at.saturating_duration_since(start());
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Milliseconds from one instant to a later one; 0 when it is not later.
pub(crate) fn between_ms(from: Instant, to: Instant) -> u64 {
    let elapsed = to.saturating_duration_since(from);
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// The instant a number of milliseconds after another.
pub(crate) fn after(at: Instant, ms: u64) -> Instant {
    at + Duration::from_millis(ms)
}
