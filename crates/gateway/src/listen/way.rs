//! How callers' connections come.

/// How a caller's connection came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Way {
    /// From the balancer.
    Direct,
    /// Handed on by another gateway, which may stop at any time: it ends after a while, or
    /// with the answer that is due then.
    HandedOn,
}
