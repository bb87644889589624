//! What a sidecar tells of its server.

use crate::{Incarnation, Millis, Revision, ServerId};
use serde::{Deserialize, Serialize};

/// A server's load and standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The server.
    pub server: ServerId,
    /// The sidecar's life.
    pub incarnation: Incarnation,
    /// When that life began.
    pub started_at: Millis,
    /// Highest configuration revision it has applied.
    pub revision: Revision,
    /// Slots in all.
    pub slots: u32,
    /// Slots neither running nor reserved.
    pub free: u32,
    /// Whether it refuses new work.
    pub draining: bool,
}
