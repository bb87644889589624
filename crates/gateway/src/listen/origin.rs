//! Origin of callers' connections.

/// Where a caller's connection comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// The balancer.
    Direct,
    /// Another gateway. The connection carries a single request: that gateway may stop at any time,
    /// and may have learned of a newer configuration by the next request.
    HandedOff,
}
