//! What gateways tell each other of a request under suspicion.

use mulberryyoke_model::{Digest, ServerId};
use serde::{Deserialize, Serialize};

/// What a gateway knows of a request that ended servers. Ages are told and not times, so that
/// clocks need not agree; to hear a thing twice changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The request.
    pub digest: Digest,
    /// Lives of servers that ended under it.
    pub crashes: Vec<Crash>,
    /// Time since a run of it last ended well, in milliseconds.
    pub success_age_ms: Option<u64>,
}

/// A life of a server that ended under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The life.
    pub server: ServerId,
    /// Time since its end, in milliseconds.
    pub age_ms: u64,
}

impl Suspect {
    /// One of which nothing is known.
    #[must_use]
    pub const fn new(digest: Digest) -> Self {
        Self {
            digest,
            crashes: Vec::new(),
            success_age_ms: None,
        }
    }

    pub(super) const fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.success_age_ms.is_none()
    }
}
