//! Reports of values in the key-value service that can't be parsed.

use mulberryyoke_event::{Event, log};
use mulberryyoke_platform::kv::Revision;

use crate::clock;
use crate::core::Core;
use crate::protocol::ParseError;

/// Counts and logs a value that can't be parsed. Any client may write such values, in any number.
pub(super) fn report(core: &Core, key: &str, revision: Revision, error: &ParseError) {
    metrics::counter!("values_unreadable_total").increment(1);
    let Some(omitted) = core.unreadable_log.lock().try_line(clock::now_ms()) else {
        return;
    };
    log!(core.logger, Event::ConfigUnreadable,
        "key" => key, "revision" => revision, "error" => error.to_string(), "omitted" => omitted);
}
