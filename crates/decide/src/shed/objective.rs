//! Latency objective of a request.

/// Latency objective of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Objective {
    /// Longest acceptable time to first token, in milliseconds.
    pub first_token_ms: f64,
    /// Longest acceptable pause between events, in milliseconds; infinite if unlimited.
    pub max_pause_ms: f64,
}
