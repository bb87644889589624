//! Position of a reader of totals.

use std::collections::HashMap;

use super::Account;

/// Totals that a reader has received; none by default.
#[derive(Clone, Debug, Default)]
pub struct Cursor {
    pub(super) version: u64,
    pub(super) sent: HashMap<Account, u64>,
}
