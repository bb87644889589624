//! The steps of a planned stop.

use tokio_util::sync::CancellationToken;

/// The steps of a planned stop, each begun once and in this order.
#[derive(Debug, Default)]
pub(crate) struct Stop {
    /// New requests are refused, each with the end of its connection.
    pub(crate) refuse: CancellationToken,
    /// The port is closed, and connections without a request are.
    pub(crate) close: CancellationToken,
    /// Requests that still wait are refused.
    pub(crate) clear: CancellationToken,
    /// Requests whose answer has not begun are given up.
    pub(crate) cut: CancellationToken,
    /// Everything ends.
    pub(crate) end: CancellationToken,
}
