//! Whether a request counts in the load of its server.

/// Whether a request counts in the load of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Load {
    Counted,
    Released,
}
