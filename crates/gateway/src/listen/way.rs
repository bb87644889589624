//! How callers' connections come.

/// How a caller's connection came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Way {
    /// From the balancer.
    Direct,
    /// Handed on by another gateway, which may stop at any time, and whose callers may have been
    /// answered by a later configuration meanwhile: it carries one request.
    HandedOn,
}
