//! Position of a reader of totals.

/// How far a reader has read; the default has read nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor(pub(super) u64);
