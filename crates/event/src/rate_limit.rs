//! A bound on the lines that requests cause, so that a flood of them neither fills
//! the log nor takes the processor. Lines about beliefs and faults are never left out.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use crate::Event;

/// Lines about requests that may be written a second; `u64::MAX` while there is no bound.
static MOST: AtomicU64 = AtomicU64::new(u64::MAX);

/// The second in which lines are counted, and how many there were, in one number.
static COUNTED: AtomicU64 = AtomicU64::new(0);

/// Lines left out, by the event's place in [`Event::ALL`].
static SUPPRESSED: [AtomicU64; Event::ALL.len()] = [const { AtomicU64::new(0) }; Event::ALL.len()];

/// Bits of [`COUNTED`] that count lines.
const COUNT_BITS: u32 = 32;

/// Bounds the lines about requests to so many a second.
pub fn set_limit(lines_a_second: u32) {
    MOST.store(u64::from(lines_a_second), Ordering::Relaxed);
}

/// Whether a line about an event may be written now; if not, it is counted.
#[must_use]
pub fn allows(event: Event) -> bool {
    if !event.is_rate_limited() {
        return true;
    }
    let most = MOST.load(Ordering::Relaxed);
    if most == u64::MAX || count() <= most {
        return true;
    }
    let place = Event::ALL.iter().position(|held| *held == event);
    if let Some(place) = place {
        SUPPRESSED[place].fetch_add(1, Ordering::Relaxed);
    }
    false
}

/// Counts a line and returns how many there were in this second.
fn count() -> u64 {
    let second = second();
    let counted = COUNTED.load(Ordering::Relaxed);
    if counted >> COUNT_BITS != second {
        // Lines that others count at the same moment are lost; the bound stays near.
        COUNTED.store(second << COUNT_BITS | 1, Ordering::Relaxed);
        return 1;
    }
    let count = COUNTED.fetch_add(1, Ordering::Relaxed) + 1;
    count & ((1 << COUNT_BITS) - 1)
}

fn second() -> u64 {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_secs() + 1
}

/// Takes the numbers of lines left out, by event.
pub(crate) fn take_suppressed() -> Vec<(Event, u64)> {
    let counts = Event::ALL.iter().zip(&SUPPRESSED);
    let counts = counts.map(|(event, count)| (*event, count.swap(0, Ordering::Relaxed)));
    counts.filter(|(_, count)| *count > 0).collect()
}
