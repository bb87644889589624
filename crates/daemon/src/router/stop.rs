//! The steps of a planned stop.

use tokio_util::sync::CancellationToken;

/// The steps of a planned stop, each begun once and in this order.
#[derive(Debug, Default)]
pub(crate) struct Stop {
    /// New requests are refused.
    pub(crate) refuse: CancellationToken,
    /// Requests that still wait are refused.
    pub(crate) clear: CancellationToken,
    /// Everything ends.
    pub(crate) end: CancellationToken,
}
