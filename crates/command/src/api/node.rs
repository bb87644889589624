//! Nodes of the fleet.

use mulberryyoke_model::{Millis, Revision};
use serde::{Deserialize, Serialize};

/// Role of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts requests from callers.
    Router,
    /// Runs beside a backend server.
    Sidecar,
}

/// State of a node, as known to the router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Role of the node.
    pub role: Role,
    /// Unique name.
    pub name: String,
    /// Availability zone it runs in.
    pub zone: String,
    /// Whether the router receives its reports.
    pub up: bool,
    /// Whether it is leaving the fleet.
    pub leaving: bool,
    /// Highest configuration revision that it is known to have applied.
    pub revision: Option<Revision>,
    /// Pool of the sidecar's server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<String>,
    /// Slots of the sidecar's server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// Free slots of the sidecar's server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub free: Option<u32>,
    /// Start time of the process.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_at: Option<Millis>,
}

impl Node {
    /// Whether the node is not known to have applied a revision.
    #[must_use]
    pub fn is_behind(&self, revision: Revision) -> bool {
        self.revision.is_none_or(|applied| applied < revision)
    }
}
