//! Calls of the gateway.

/// A call of the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Method {
    Range,
    Txn,
    Watch,
    LeaseGrant,
    LeaseKeep,
    LeaseRevoke,
}

impl Method {
    /// Its path.
    pub(crate) const fn path(self) -> &'static str {
        match self {
            Self::Range => "/v3/kv/range",
            Self::Txn => "/v3/kv/txn",
            Self::Watch => "/v3/watch",
            Self::LeaseGrant => "/v3/lease/grant",
            Self::LeaseKeep => "/v3/lease/keepalive",
            Self::LeaseRevoke => "/v3/lease/revoke",
        }
    }

    /// Its name in metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Range => "range",
            Self::Txn => "txn",
            Self::Watch => "watch",
            Self::LeaseGrant => "lease_grant",
            Self::LeaseKeep => "lease_keep",
            Self::LeaseRevoke => "lease_revoke",
        }
    }

    /// Whether the answer streams, so that only the service can end it.
    pub(crate) const fn needs_leader(self) -> bool {
        matches!(self, Self::Watch | Self::LeaseKeep)
    }

    /// Whether a second endpoint may be tried although the first may have carried it out.
    pub(crate) const fn is_idempotent(self) -> bool {
        matches!(self, Self::Range | Self::Watch | Self::LeaseKeep)
    }
}
