//! What a run is about.

use crate::run::WATCHERS;

/// Size of a large configuration, in bytes. Gateways without optimization take too long to parse the
/// size that the platform allows.
const LARGE_CONFIGURATION_BYTES: usize = if cfg!(debug_assertions) {
    100_000
} else {
    900_000
};

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
    /// The configuration is large and changes quickly, and gateways that follow others find these
    /// without current data. Gateways and the store have faults besides.
    Contents,
    /// When the store is back after an outage, all gateways that watch it are cut off from it and
    /// from the others, while servers leave.
    Outages,
    /// Releases replace model servers by those of another version, and all gateways are lost
    /// meanwhile. Callers leave streams and resume them up to seconds later.
    Losses,
    /// Callers resume streams of servers whose processes are stopped and killed. Gateways and their
    /// connections have faults besides.
    Processes,
}

/// Number of processors of a gateway that watches the store, and of another one.
const PROCESSORS: (f64, f64) = (2.0, 0.5);

impl Subject {
    /// Default number of gateways. Three watch the store, the others follow them.
    pub(crate) const fn gateways(self) -> usize {
        match self {
            Self::Faults | Self::Part | Self::Streams | Self::Losses | Self::Processes => 3,
            Self::Contents | Self::Outages => 5,
        }
    }

    /// Size of the configuration, in bytes, beside what the other subjects have.
    pub(crate) const fn configuration_bytes(self) -> usize {
        match self {
            Self::Faults
            | Self::Part
            | Self::Streams
            | Self::Outages
            | Self::Losses
            | Self::Processes => 0,
            Self::Contents => LARGE_CONFIGURATION_BYTES,
        }
    }

    /// Number of model servers.
    pub(crate) const fn model_servers(self) -> usize {
        match self {
            Self::Faults | Self::Contents | Self::Outages => 4,
            Self::Processes => 8,
            Self::Part | Self::Streams | Self::Losses => 12,
        }
    }

    /// Default number of callers. Those of an outage send requests without a pause.
    pub(crate) const fn callers(self) -> usize {
        match self {
            Self::Outages => 40,
            Self::Processes => 24,
            Self::Faults | Self::Contents | Self::Part | Self::Streams | Self::Losses => 16,
        }
    }

    /// Number of plain servers.
    pub(crate) const fn plain_servers(self) -> usize {
        match self {
            Self::Outages => 12,
            Self::Processes => 1,
            Self::Faults | Self::Contents | Self::Part | Self::Streams | Self::Losses => 4,
        }
    }

    /// Number of processors that a gateway reports. Those with the most watch the store.
    pub(crate) const fn processors(self, gateway: usize) -> f64 {
        match self {
            Self::Outages if gateway >= WATCHERS => PROCESSORS.1,
            Self::Outages => PROCESSORS.0,
            Self::Faults
            | Self::Contents
            | Self::Part
            | Self::Streams
            | Self::Losses
            | Self::Processes => 1.0,
        }
    }

    /// Whether callers leave streams to resume them.
    pub(crate) const fn has_leaving_callers(self) -> bool {
        matches!(self, Self::Streams | Self::Losses)
    }

    /// Whether faults are drawn.
    pub(crate) const fn has_drawn_faults(self) -> bool {
        !matches!(self, Self::Outages | Self::Losses)
    }
}
