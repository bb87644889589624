//! Memory that a request takes at its server.

/// Memory that a request takes at its server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reservation {
    /// Tokens of prompt and output.
    pub tokens: u32,
    /// Of these, tokens outside of shared parts.
    pub unshared: u32,
}
