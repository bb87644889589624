//! Wall clock in milliseconds.

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

/// Converts a wall-clock time to the instant at which its timer fires.
pub(crate) fn instant(at: Millis) -> Instant {
    /// Maximum timer duration: one year.
    const MAX_AHEAD_MS: Millis = 365 * 24 * 3_600 * 1_000;

    let ahead = at.saturating_sub(now()).min(MAX_AHEAD_MS);
    Instant::now() + Duration::from_millis(ahead)
}
