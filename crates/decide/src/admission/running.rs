//! A request that runs on the server.

use mulberryyoke_model::KeyId;

use crate::account::{AccountKey, Charge};

/// A request that runs on the server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Running {
    pub(crate) account: AccountKey,
    pub(crate) charge: Charge,
    /// The estimate as the ticket gave it, in tokens.
    pub(crate) cost: u32,
    pub(crate) key: Option<KeyId>,
}
