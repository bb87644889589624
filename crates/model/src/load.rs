//! Server load reported by sidecars.

use crate::{Incarnation, Millis, Revision, ServerId};
use serde::{Deserialize, Serialize};

/// Load and state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The server.
    pub server: ServerId,
    /// Instance of the sidecar.
    pub incarnation: Incarnation,
    /// Start time of the instance.
    pub started_at: Millis,
    /// Highest configuration revision applied.
    pub revision: Revision,
    /// Total number of slots.
    pub slots: u32,
    /// Number of slots neither in use nor reserved.
    pub free: u32,
    /// Whether the server refuses new requests.
    pub draining: bool,
}
