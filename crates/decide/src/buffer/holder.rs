//! What a customer's requests and responses hold.

/// What a customer's requests and responses hold.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Holder {
    /// Number of open accounts.
    pub(super) accounts: u32,
    /// Bytes of request bodies.
    pub(super) requests: u64,
    /// Bytes of responses that callers have not taken.
    pub(super) responses: u64,
    /// Number of responses that hold bytes.
    pub(super) holding: u32,
}
