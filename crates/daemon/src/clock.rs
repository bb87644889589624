//! The wall clock, in the unit of the decisions.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use mulberryyoke_model::Millis;
use tokio::time::Instant;

/// Milliseconds since the Unix epoch.
pub(crate) fn now() -> Millis {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis::try_from(elapsed.as_millis()).unwrap_or(Millis::MAX)
}

/// When a timer for an instant of the wall clock has to fire.
pub(crate) fn instant(at: Millis) -> Instant {
    /// Longer timers than a year serve nobody.
    const MOST_MS: Millis = 365 * 24 * 3_600 * 1_000;

    let ahead = at.saturating_sub(now()).min(MOST_MS);
    Instant::now() + Duration::from_millis(ahead)
}
