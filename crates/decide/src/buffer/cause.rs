//! Why a caller is cut.

/// Why a caller is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It has taken nothing for [`super::STALL_MS`] while bytes waited.
    Stalled,
    /// The budget was exceeded, and its response held most.
    Exceeded,
}

impl Cause {
    /// Label in logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Stalled => "stalled",
            Self::Exceeded => "exceeded",
        }
    }
}
