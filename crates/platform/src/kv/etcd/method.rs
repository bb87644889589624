//! Methods of the gateway.

/// Method of the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Method {
    Range,
    Txn,
    Watch,
    LeaseGrant,
    LeaseKeepAlive,
    LeaseRevoke,
}

impl Method {
    /// HTTP path.
    pub(crate) const fn path(self) -> &'static str {
        match self {
            Self::Range => "/v3/kv/range",
            Self::Txn => "/v3/kv/txn",
            Self::Watch => "/v3/watch",
            Self::LeaseGrant => "/v3/lease/grant",
            Self::LeaseKeepAlive => "/v3/lease/keepalive",
            Self::LeaseRevoke => "/v3/lease/revoke",
        }
    }

    /// Value of the metric label `method`.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Range => "range",
            Self::Txn => "txn",
            Self::Watch => "watch",
            Self::LeaseGrant => "lease_grant",
            Self::LeaseKeepAlive => "lease_keep",
            Self::LeaseRevoke => "lease_revoke",
        }
    }

    /// Whether the response is a stream, which an endpoint without a leader would keep open.
    pub(crate) const fn needs_leader(self) -> bool {
        matches!(self, Self::Watch | Self::LeaseKeepAlive)
    }

    /// Whether the call may be retried after an endpoint may have executed it.
    pub(crate) const fn is_idempotent(self) -> bool {
        matches!(self, Self::Range | Self::Watch | Self::LeaseKeepAlive)
    }
}
