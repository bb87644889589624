//! Status that a server reports with a response.

/// Status that a server reports with a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the server is leaving and wants no new requests.
    pub is_leaving: bool,
    /// Time for which the server wants no requests from this gateway, in milliseconds.
    pub pushback_ms: Option<u64>,
}
