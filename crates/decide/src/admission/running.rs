//! Running requests.

use mulberryyoke_model::KeyId;

use crate::account::{AccountKey, Charge};

/// A request running on the server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Running {
    pub(crate) account: AccountKey,
    pub(crate) charge: Charge,
    /// Estimated cost from the ticket, in tokens.
    pub(crate) cost: u32,
    pub(crate) key: Option<KeyId>,
}
