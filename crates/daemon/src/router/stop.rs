//! Steps of a graceful shutdown.

use tokio_util::sync::CancellationToken;

/// Steps of a graceful shutdown, each triggered once and in this order.
#[derive(Debug, Default)]
pub(crate) struct Stop {
    /// New requests are refused and HTTP/1 connections closed after the response.
    pub(crate) refuse: CancellationToken,
    /// The listener and idle connections are closed.
    pub(crate) close: CancellationToken,
    /// Queued requests are refused.
    pub(crate) clear: CancellationToken,
    /// Requests whose answer has not started are abandoned.
    pub(crate) cut: CancellationToken,
    /// Remaining connections are closed and background tasks stop.
    pub(crate) end: CancellationToken,
}
