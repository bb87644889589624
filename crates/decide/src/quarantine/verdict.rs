//! What a request may do.

use mulberryyoke_model::Millis;

/// What a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is held against it.
    Clear,
    /// Servers ended under it: one copy at a time may run.
    Suspect {
        /// Lives of servers that ended under it since a run of it last crashes well.
        crashes: u32,
    },
    /// It ends servers: it reaches none.
    Convicted {
        /// As for suspects.
        crashes: u32,
        /// When one copy may be tried again.
        until: Millis,
    },
}

impl Verdict {
    /// Lives of servers that ended under it since a run of it last crashes well.
    #[must_use]
    pub const fn crashes(self) -> u32 {
        match self {
            Self::Clear => 0,
            Self::Suspect { crashes } | Self::Convicted { crashes, .. } => crashes,
        }
    }

    /// Its name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Clear => "clear",
            Self::Suspect { .. } => "suspect",
            Self::Convicted { .. } => "convicted",
        }
    }
}
