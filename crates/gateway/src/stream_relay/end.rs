//! Why a stream ended.

/// Why a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    Complete,
    Truncated,
    /// No events until the stall deadline; another server is tried.
    Stalled,
    TimedOut,
    /// The caller closed the connection.
    CallerClosed,
    /// The gateway closed the caller's connection, because the caller reads too slowly.
    CallerCut,
    Stopping,
}

impl End {
    /// Label in logs and metrics.
    pub(super) const fn label(self) -> &'static str {
        match self {
            Self::Complete => "whole",
            Self::Truncated => "broken",
            Self::Stalled => "stalled",
            Self::TimedOut => "late",
            Self::CallerClosed => "hung_up",
            Self::CallerCut => "cut",
            Self::Stopping => "stopping",
        }
    }
}
