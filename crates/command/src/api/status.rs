//! The state of the fleet.

use mulberryyoke_model::Revision;
use serde::{Deserialize, Serialize};

use crate::api::Node;

/// The state of the fleet as the asked router knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the asked router.
    pub router: String,
    /// Revision in force on it.
    pub revision: Revision,
    /// Whether the key-value service answered just now.
    pub kv: bool,
    /// Every node, routers first.
    pub nodes: Vec<Node>,
    /// Servers that the asked router is not meant to be connected to, so that it
    /// knows nothing of their sidecars.
    pub unseen: usize,
    /// Counts at the asked router.
    pub tally: Counts,
}

/// Counts at the asked router.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Customers.
    pub customers: usize,
    /// Requests that wait.
    pub waiting: u64,
    /// Requests that run.
    pub running: u64,
}
