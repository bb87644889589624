//! Position of a reader of totals.

use std::collections::HashMap;

use super::Account;

/// What a reader of totals has been told; the default has been told nothing.
#[derive(Clone, Debug, Default)]
pub struct Cursor {
    pub(super) version: u64,
    pub(super) told: HashMap<Account, u64>,
}
