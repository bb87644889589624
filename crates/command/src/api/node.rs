//! Nodes of the fleet.

use mulberryyoke_model::{Millis, Revision};
use serde::{Deserialize, Serialize};

/// What a node does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Takes callers' requests.
    Router,
    /// Runs beside a backend server.
    Sidecar,
}

/// A node as the asked router knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// What it does.
    pub role: Role,
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Whether the asked router hears of it now.
    pub up: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Highest configuration revision known to be in force on it.
    pub revision: Option<Revision>,
    /// Pool of a sidecar's server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<String>,
    /// Slots of a sidecar's server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// Free slots of a sidecar's server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub free: Option<u32>,
    /// When its life began.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_at: Option<Millis>,
}

impl Node {
    /// Whether a revision is not yet known to be in force on it.
    #[must_use]
    pub fn is_behind(&self, revision: Revision) -> bool {
        self.revision.is_none_or(|held| held < revision)
    }
}
