//! Report on a suspect request, exchanged between gateways.

use mulberryyoke_model::{Digest, ServerId};
use serde::{Deserialize, Serialize};

/// What a gateway knows about a request that may crash servers. Times are sent as ages, so that
/// clocks need not agree. Merging a report is idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The request.
    pub digest: Digest,
    /// Server instances that crashed while running it.
    pub crashes: Vec<Crash>,
    /// Time since it last succeeded, in milliseconds.
    pub success_age_ms: Option<u64>,
}

/// Crash of a server instance that was running the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The server instance.
    pub server: ServerId,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
}

impl Suspect {
    /// Creates an empty report.
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
