//! Phases of a graceful shutdown.

use tokio_util::sync::CancellationToken;

/// Phases of a graceful shutdown, started in this order.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    /// Readiness probes fail, and each response closes its connection.
    pub(crate) drain: CancellationToken,
    /// New requests are refused.
    pub(crate) refuse: CancellationToken,
    /// No connections are accepted, and idle ones are closed.
    pub(crate) close: CancellationToken,
    /// Requests that have no answer yet are answered with a refusal.
    pub(crate) answer: CancellationToken,
    /// All tasks terminate.
    pub(crate) terminate: CancellationToken,
}
