//! Verdict on a request: whether it may be sent to a server.

use mulberryyoke_model::Millis;

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No crashes count against the request.
    Clear,
    /// Servers crashed while running the request; one copy at a time may run.
    Suspect {
        /// Crashes since the request last succeeded.
        crashes: u32,
    },
    /// The request is quarantined and not sent to any server.
    Convicted {
        /// Crashes since the request last succeeded.
        crashes: u32,
        /// When the quarantine ends and one copy may be tried.
        until: Millis,
    },
}

impl Verdict {
    /// Returns the number of crashes since the request last succeeded.
    #[must_use]
    pub const fn crashes(self) -> u32 {
        match self {
            Self::Clear => 0,
            Self::Suspect { crashes } | Self::Convicted { crashes, .. } => crashes,
        }
    }

    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Clear => "clear",
            Self::Suspect { .. } => "suspect",
            Self::Convicted { .. } => "convicted",
        }
    }
}
