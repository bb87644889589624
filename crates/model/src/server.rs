//! Backend servers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Millis;

/// Administrative state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Accepts new requests.
    Active,
    /// Accepts no new requests and completes those in progress.
    Draining,
    /// Removed; the entry is retained for the key retention time to identify former homes.
    Removed,
}

/// Configuration of a backend server; the addresses are those of its sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Unique name.
    pub name: String,
    /// Name of its pool.
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
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Administrative state.
    pub state: State,
    /// Time when it was first added; preserved when a removed server is added again.
    pub added_at: Millis,
    /// Time of the last change of `state`.
    pub changed_at: Millis,
}
