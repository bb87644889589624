//! A key as it was read.

use mulberryyoke_model::{Entry, Millis, Object, Revision, State};

/// A key as it was read.
#[derive(Clone, Debug, Default)]
pub(crate) struct Held {
    /// Its revision; `None` when absent.
    pub(crate) revision: Option<Revision>,
    /// Its entry; `None` when absent or unreadable.
    pub(crate) entry: Option<Entry>,
}

impl Held {
    /// The object there, unless it is removed.
    pub(crate) fn object(&self) -> Option<&Object> {
        self.entry.as_ref()?.object.as_ref()
    }

    /// The entry with its revision.
    pub(crate) fn found(&self) -> Option<(&Entry, Revision)> {
        Some((self.entry.as_ref()?, self.revision?))
    }

    /// Whether it was removed before an instant.
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

    /// Whether something is there that cannot be read.
    pub(crate) const fn is_unreadable(&self) -> bool {
        self.revision.is_some() && self.entry.is_none()
    }
}
