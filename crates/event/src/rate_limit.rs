//! Rate limit for log lines about single requests, so that a flood of requests neither
//! fills the log nor exhausts the processor. Other events are never suppressed.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use crate::Event;

/// Maximum number of limited lines per second; `u64::MAX` for no limit.
static LIMIT: AtomicU64 = AtomicU64::new(u64::MAX);

/// Current second in the upper bits and the lines counted in it in the lower bits.
static WINDOW: AtomicU64 = AtomicU64::new(0);

/// Suppressed lines by the event's index in [`Event::ALL`].
static SUPPRESSED: [AtomicU64; Event::ALL.len()] = [const { AtomicU64::new(0) }; Event::ALL.len()];

/// Number of bits of [`WINDOW`] that count lines.
const COUNT_BITS: u32 = 32;

/// Limits the lines about single requests.
pub fn set_limit(lines_per_s: u32) {
    LIMIT.store(u64::from(lines_per_s), Ordering::Relaxed);
}

/// Whether an event may be logged now; a suppressed event is counted.
#[must_use]
pub fn allows(event: Event) -> bool {
    if !event.is_rate_limited() {
        return true;
    }
    let limit = LIMIT.load(Ordering::Relaxed);
    if limit == u64::MAX || count() <= limit {
        return true;
    }
    let index = Event::ALL.iter().position(|other| *other == event);
    if let Some(index) = index {
        SUPPRESSED[index].fetch_add(1, Ordering::Relaxed);
    }
    false
}

/// Counts a line and returns the number of lines in this second.
fn count() -> u64 {
    let second = second();
    let window = WINDOW.load(Ordering::Relaxed);
    if window >> COUNT_BITS != second {
        // Concurrent counts may be lost, so the limit is approximate.
        WINDOW.store(second << COUNT_BITS | 1, Ordering::Relaxed);
        return 1;
    }
    let count = WINDOW.fetch_add(1, Ordering::Relaxed) + 1;
    count & ((1 << COUNT_BITS) - 1)
}

fn second() -> u64 {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_secs() + 1
}

/// Takes the numbers of suppressed lines by event.
pub(crate) fn take_suppressed() -> Vec<(Event, u64)> {
    let counts = Event::ALL.iter().zip(&SUPPRESSED);
    let counts = counts.map(|(event, count)| (*event, count.swap(0, Ordering::Relaxed)));
    counts.filter(|(_, count)| *count > 0).collect()
}
