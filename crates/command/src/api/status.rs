//! State of the fleet.

use mulberryyoke_model::Revision;
use serde::{Deserialize, Serialize};

use crate::api::Node;

/// State of the fleet, as known to the router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the router.
    pub router: String,
    /// Configuration revision that the router has applied.
    pub revision: Revision,
    /// Whether the last call to the key-value service succeeded.
    pub kv: bool,
    /// All known nodes, routers first.
    pub nodes: Vec<Node>,
    /// Number of servers that this router is not assigned to connect to.
    pub unseen: usize,
    /// Counts of the router.
    pub tally: Counts,
}

/// Counts of a router.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Number of customers.
    pub customers: usize,
    /// Number of queued requests.
    pub waiting: u64,
    /// Number of running requests.
    pub running: u64,
}
