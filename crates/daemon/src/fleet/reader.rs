//! Reading of configured values.

use std::collections::HashMap;

use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Change, Entry, Object, Revision};
use slog::Logger;

/// Reads configured values; one that cannot be read is told once and skipped, so that
/// what was accepted before for its key stays.
pub(super) struct Reader {
    prefix: String,
    logger: Logger,
    /// Revisions of the values told, by key.
    told: HashMap<String, Revision>,
}

impl Reader {
    pub(super) fn open(prefix: String, logger: Logger) -> Self {
        Self {
            prefix,
            logger,
            told: HashMap::new(),
        }
    }

    /// Reads a write; a deletion has no value.
    pub(super) fn read(
        &mut self,
        key: &str,
        value: Option<&[u8]>,
        revision: Revision,
    ) -> Option<Change> {
        let key = key.strip_prefix(&self.prefix)?;
        match value.map_or(Ok(None), |value| parse(key, value)) {
            Ok(object) => {
                self.told.remove(key);
                Some(Change {
                    key: key.to_owned(),
                    revision,
                    object,
                })
            }
            Err(reason) => {
                self.tell(key, revision, &reason);
                None
            }
        }
    }

    fn tell(&mut self, key: &str, revision: Revision, reason: &str) {
        if self.told.insert(key.to_owned(), revision) != Some(revision) {
            log!(self.logger, Event::ConfigUnreadable,
                "key" => key, "revision" => revision, "error" => reason);
        }
    }
}

fn parse(key: &str, value: &[u8]) -> Result<Option<Object>, String> {
    let entry: Entry = serde_json::from_slice(value).map_err(|error| error.to_string())?;
    let named = entry.object.as_ref().map(Object::key);
    if named.as_deref().is_some_and(|named| named != key) {
        return Err(format!("could not match object with key: {key}"));
    }
    Ok(entry.object)
}
