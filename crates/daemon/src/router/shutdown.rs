//! Phases of a graceful shutdown.

use tokio_util::sync::CancellationToken;

/// Phases of a graceful shutdown, started in this order.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    /// New requests are refused and HTTP/1 connections closed after the response.
    pub(crate) refuse: CancellationToken,
    /// The listener and idle connections are closed.
    pub(crate) close: CancellationToken,
    /// Queued requests are refused.
    pub(crate) refuse_queued: CancellationToken,
    /// Requests without a response head are abandoned.
    pub(crate) abandon: CancellationToken,
    /// Remaining connections are closed and background tasks terminate.
    pub(crate) terminate: CancellationToken,
}
