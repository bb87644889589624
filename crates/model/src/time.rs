//! Time representation.

/// Milliseconds since the Unix epoch. Also used for deadlines, which are absolute times.
pub type Millis = u64;
