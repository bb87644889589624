//! What an answer on time is.

/// What an answer on time is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Aim {
    /// Time to the first event, in milliseconds.
    pub objective_ms: f64,
    /// Longest pause between events, in milliseconds; infinite without a bound.
    pub pause_ms: f64,
}
