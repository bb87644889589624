//! Human-readable times.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use mulberryyoke_model::Millis;

/// Formats a time as UTC date and time.
pub(crate) fn timestamp(at: Millis) -> String {
    let at = UNIX_EPOCH + Duration::from_millis(at);
    humantime::format_rfc3339_seconds(at).to_string()
}

/// Formats the time elapsed since `at`, in seconds.
pub(crate) fn elapsed(at: Millis) -> String {
    let at = UNIX_EPOCH + Duration::from_millis(at);
    let elapsed = SystemTime::now().duration_since(at).unwrap_or_default();
    format!("{:.1} s", elapsed.as_secs_f64())
}
