//! How a wait ends.

use crate::backend::InFlight;
use crate::denial::Denial;

/// How a wait ends.
#[derive(Debug)]
pub(crate) enum Ending {
    /// The request is assigned to a server.
    Sent(InFlight),
    /// The request was not admitted in time, or no server can be used any more.
    Refused(Denial),
    /// The request can no longer meet its objective.
    Late(Denial),
    /// The queue was full.
    Displaced(Denial),
    /// The gateway is shutting down.
    Stopping,
}

impl Ending {
    /// Label in logs and metrics.
    pub(crate) const fn label(&self) -> &'static str {
        match self {
            Self::Sent(_) => "sent",
            Self::Refused(_) => "refused",
            Self::Late(_) => "late",
            Self::Displaced(_) => "displaced",
            Self::Stopping => "stopping",
        }
    }
}
