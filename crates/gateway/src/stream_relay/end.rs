//! Why a stream ended.

/// Why a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    Complete,
    Truncated,
    /// The server sends bytes that are no events.
    Garbled,
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
            Self::Garbled => "garbled",
            Self::Stalled => "stalled",
            Self::TimedOut => "late",
            Self::CallerClosed => "hung_up",
            Self::CallerCut => "cut",
            Self::Stopping => "stopping",
        }
    }

    /// Whether the server ended the stream before its last event, or has to be taken to have done so.
    pub(super) const fn is_broken(self) -> bool {
        matches!(self, Self::Truncated | Self::Garbled)
    }

    /// What the server did, in the log of its failures.
    pub(super) const fn failure(self) -> &'static str {
        match self {
            Self::Garbled => "stream garbled",
            _ => "stream truncated",
        }
    }
}
