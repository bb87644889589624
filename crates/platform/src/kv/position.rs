//! How far the service's writes are known.

use displaydoc::Display;

use crate::kv::Revision;

/// Number of times that the service came back from a copy some seconds old, from any start.
/// Revisions go back then and are given out again.
pub type Era = u64;

/// revision {revision} of era {era}
///
/// How far the service's writes are known: revisions of different eras cannot be compared.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
#[ignore_extra_doc_attributes]
pub struct Position {
    /// The era.
    pub era: Era,
    /// The revision in it.
    pub revision: Revision,
}
