//! Parsing of configuration values.

use std::collections::HashMap;

use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Change, Entry, Object, Revision};
use slog::Logger;

/// Parses configuration values. An invalid one is logged once and skipped, so that the
/// previously accepted value of its key stays in force.
pub(super) struct Reader {
    prefix: String,
    logger: Logger,
    /// Revisions of the invalid values already logged, by key.
    reported: HashMap<String, Revision>,
}

impl Reader {
    pub(super) fn new(prefix: String, logger: Logger) -> Self {
        Self {
            prefix,
            logger,
            reported: HashMap::new(),
        }
    }

    /// Parses a write; a deletion has no value.
    pub(super) fn read(
        &mut self,
        key: &str,
        value: Option<&[u8]>,
        revision: Revision,
    ) -> Option<Change> {
        let key = key.strip_prefix(&self.prefix)?;
        match value.map_or(Ok(None), |value| parse(key, value)) {
            Ok(object) => {
                self.reported.remove(key);
                Some(Change {
                    key: key.to_owned(),
                    revision,
                    object,
                })
            }
            Err(reason) => {
                self.report(key, revision, &reason);
                None
            }
        }
    }

    fn report(&mut self, key: &str, revision: Revision, reason: &str) {
        if self.reported.insert(key.to_owned(), revision) != Some(revision) {
            log!(self.logger, Event::ConfigUnreadable,
                "key" => key, "revision" => revision, "error" => reason);
        }
    }
}

fn parse(key: &str, value: &[u8]) -> Result<Option<Object>, String> {
    let entry: Entry = serde_json::from_slice(value).map_err(|error| error.to_string())?;
    let named = entry.object.as_ref().map(Object::key);
    if named.as_deref().is_some_and(|named| named != key) {
        return Err(format!("object does not belong to key {key}"));
    }
    Ok(entry.object)
}
