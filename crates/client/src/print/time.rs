//! Instants for people.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use mulberryyoke_model::Millis;

/// An instant as UTC date and time.
pub(crate) fn stamp(at: Millis) -> String {
    let at = UNIX_EPOCH + Duration::from_millis(at);
    humantime::format_rfc3339_seconds(at).to_string()
}

/// Time from an instant until now, in seconds.
pub(crate) fn since(at: Millis) -> String {
    let at = UNIX_EPOCH + Duration::from_millis(at);
    let passed = SystemTime::now().duration_since(at).unwrap_or_default();
    format!("{:.1} s", passed.as_secs_f64())
}
