//! What a run is about.

/// What a run is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Subject {
    /// Faults of everything that gateways depend on.
    Faults,
    /// A part of prompts crashes model servers. Apart from this, only gateways and the store have
    /// faults.
    Part,
    /// As `Faults`. Besides, callers leave streams and resume them, and answers have neither a length
    /// nor chunks.
    Streams,
}

impl Subject {
    /// Number of model servers.
    pub(crate) const fn model_servers(self) -> usize {
        match self {
            Self::Faults => 4,
            Self::Part | Self::Streams => 12,
        }
    }
}
