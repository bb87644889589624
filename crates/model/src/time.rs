//! Time as the decisions see it.

/// Milliseconds since the Unix epoch. Deadlines are stored as such instants,
/// never as durations.
pub type Millis = u64;
