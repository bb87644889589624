//! State of a key when it was read.

use mulberryyoke_model::{Entry, Millis, Object, Revision, State};

/// Revision and entry of a key when it was read.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    /// `None` if the key is absent.
    pub(crate) revision: Option<Revision>,
    /// `None` if the key is absent or its value cannot be parsed.
    pub(crate) entry: Option<Entry>,
}

impl Snapshot {
    /// Object of the entry, unless it has been removed.
    pub(crate) fn object(&self) -> Option<&Object> {
        self.entry.as_ref()?.object.as_ref()
    }

    /// Entry with its revision.
    pub(crate) fn versioned_entry(&self) -> Option<(&Entry, Revision)> {
        Some((self.entry.as_ref()?, self.revision?))
    }

    /// Whether the object was removed before `at`.
    pub(crate) fn was_removed_before(&self, at: Millis) -> bool {
        let Some(entry) = &self.entry else {
            return false;
        };
        let removed = match &entry.object {
            None => true,
            Some(Object::Server(server)) => server.state == State::Removed,
            Some(Object::Customer(_) | Object::Pool(_)) => false,
        };
        removed && entry.at < at
    }

    /// Whether the key has a value that cannot be parsed.
    pub(crate) const fn is_unreadable(&self) -> bool {
        self.revision.is_some() && self.entry.is_none()
    }
}
