//! Control links to routers.

use std::collections::HashSet;

use mulberryyoke_model::{Grant, Incarnation, Millis};
use slotmap::new_key_type;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::account::AccountKey;

new_key_type! {
    /// Key of a [`Link`].
    pub struct LinkKey;
}

/// A control link to one router.
#[derive(Clone, Debug, Default)]
pub struct Link {
    /// Incarnation of the router, once known.
    pub origin: Option<Incarnation>,
    /// Customers with waiting requests or a reserved slot at this link.
    pub(crate) accounts: HashSet<AccountKey>,
    /// Grants not sent yet.
    pub(crate) grants: Vec<Grant>,
    /// Load in the last poll response.
    pub(crate) reported: Option<ReportedLoad>,
    /// Whether a grant has expired since the last message.
    pub(crate) suspended: bool,
}

/// Load as last sent on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReportedLoad {
    pub(crate) is_idle: bool,
    pub(crate) draining: bool,
    pub(crate) at: Millis,
}

/// Rendezvous weight of a router as collector of a sidecar.
pub(crate) fn collector_weight(sidecar: Incarnation, router: Incarnation) -> u64 {
    xxh3_64_with_seed(&router.0.to_le_bytes(), sidecar.0)
}
