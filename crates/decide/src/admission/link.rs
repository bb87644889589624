//! One router's control link.

use std::collections::HashSet;

use mulberryyoke_model::{Grant, Incarnation, Millis};
use slotmap::new_key_type;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::account::AccountKey;

new_key_type! {
    /// Key of a [`Link`].
    pub struct LinkKey;
}

/// One router's control link.
#[derive(Clone, Debug, Default)]
pub struct Link {
    /// The router's life, once it has told it.
    pub origin: Option<Incarnation>,
    /// Customers with a declaration or a reserved slot here.
    pub(crate) accounts: HashSet<AccountKey>,
    /// Grants not yet told.
    pub(crate) grants: Vec<Grant>,
    /// What the last answered poll told of the load.
    pub(crate) told: Option<Told>,
    /// Whether a grant lapsed and no sign of life came since.
    pub(crate) suspended: bool,
}

/// What a link knows of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Told {
    pub(crate) is_idle: bool,
    pub(crate) draining: bool,
    pub(crate) at: Millis,
}

/// Rendezvous weight of a router as collector of a sidecar.
pub(crate) fn weight(sidecar: Incarnation, router: Incarnation) -> u64 {
    xxh3_64_with_seed(&router.0.to_le_bytes(), sidecar.0)
}
