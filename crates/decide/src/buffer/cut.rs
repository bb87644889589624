//! Decision to cut a caller.

use super::{AccountKey, Cause};

/// Decision to cut a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut {
    /// Account of the response.
    pub account: AccountKey,
    /// Why the caller is cut.
    pub cause: Cause,
    /// Bytes held for the caller.
    pub held: u64,
    /// Share of the response, in bytes.
    pub share: u64,
    /// Bytes held for all callers, including this one.
    pub total: u64,
}
