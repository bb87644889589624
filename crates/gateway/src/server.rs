//! Registered backend servers.

use std::net::SocketAddr;

use mulberryyoke_model::{PoolId, ServerId, VersionId};

/// Registration of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Identity of this instance, a hash of its name and start time.
    pub id: ServerId,
    /// Name of the server.
    pub name: String,
    /// Pool to which it belongs.
    pub pool: PoolId,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Availability zone in which it runs.
    pub zone: String,
    /// Version of its software. Servers that state none share a version of their own.
    pub version: VersionId,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Start time in milliseconds since the Unix epoch, if reported. A later instance of the same
    /// name has neither the cache nor the requests of the earlier one.
    pub started_ms: Option<u64>,
    /// Remaining time for which it is cold, in milliseconds from its registration; 0 if warm.
    pub cold_left_ms: u64,
    /// Whether it is leaving and must get no new requests.
    pub is_leaving: bool,
}
