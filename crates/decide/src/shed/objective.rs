//! What an answer on time is.

/// What an answer on time is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Objective {
    /// Time to the first event, in milliseconds.
    pub first_token_ms: f64,
    /// Longest pause between events, in milliseconds; infinite without a bound.
    pub max_pause_ms: f64,
}
