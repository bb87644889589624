//! A key as it was read.

use mulberryyoke_model::{Entry, Object, Revision};

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

    /// Whether something is there that cannot be read.
    pub(crate) const fn is_unreadable(&self) -> bool {
        self.revision.is_some() && self.entry.is_none()
    }
}
