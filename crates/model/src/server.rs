//! Backend servers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Millis;

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Takes new work.
    Active,
    /// Leaving: takes no new work, ends what it runs.
    Draining,
    /// Gone; kept for the key retention time so that former homes are known.
    Removed,
}

/// A backend server as configured; the addresses are its sidecar's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Unique name.
    pub name: String,
    /// Name of the pool it belongs to.
    pub pool: String,
    /// Region it runs in.
    #[serde(default)]
    pub region: String,
    /// Availability zone it runs in.
    pub zone: String,
    /// Address of the sidecar's control port (tarpc).
    pub control: SocketAddr,
    /// Address of the sidecar's data port (HTTP/2 without TLS).
    pub data: SocketAddr,
    /// Requests that the backend runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// When it was first added; a removed server that is added again keeps it.
    pub added_at: Millis,
    /// When `state` last changed.
    pub changed_at: Millis,
}
