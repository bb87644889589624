//! What a server says of itself beside an answer.

/// What a server says of itself beside an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// It leaves and wants nothing new.
    pub is_leaving: bool,
    /// How long it wants nothing from this router, in milliseconds, if it tells.
    pub pushback_ms: Option<u64>,
}
