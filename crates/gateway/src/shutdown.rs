//! The steps of a planned stop.

use tokio_util::sync::CancellationToken;

/// The steps of a planned stop, each begun once and in this order.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    /// The node is no longer ready; each answer ends its connection.
    pub(crate) drain: CancellationToken,
    /// New requests are refused.
    pub(crate) refuse: CancellationToken,
    /// No connection is accepted, and those without a request are closed.
    pub(crate) close: CancellationToken,
    /// Everything ends.
    pub(crate) terminate: CancellationToken,
}
