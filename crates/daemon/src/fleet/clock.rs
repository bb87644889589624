//! The wall clock, in the unit of the decisions.

use std::time::{SystemTime, UNIX_EPOCH};

use mulberryyoke_model::Millis;

/// Milliseconds since the Unix epoch.
pub(super) fn now() -> Millis {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis::try_from(elapsed.as_millis()).unwrap_or(Millis::MAX)
}
