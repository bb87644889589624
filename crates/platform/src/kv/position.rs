//! Positions in the write history of the key-value service.

use displaydoc::Display;

use crate::kv::Revision;

/// Counter that the service increases each time it is restored from a backup, after which it
/// reuses revisions. Its initial value is arbitrary.
pub type Era = u64;

/// revision {revision} of era {era}
///
/// Position in the write history. Revisions of different eras are not comparable.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
#[ignore_extra_doc_attributes]
pub struct Position {
    /// Era of the revision.
    pub era: Era,
    /// Revision within the era.
    pub revision: Revision,
}
