//! Settings of a sidecar.

use std::net::SocketAddr;

use mulberryyoke_model::Kind;
use serde::Deserialize;

use crate::router::{LogFormat, Policy};

/// Settings of a sidecar.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sidecar {
    /// Name of the server, as in the configuration and in the VM list.
    pub name: String,
    /// Region of the sidecar.
    #[serde(default)]
    pub region: String,
    /// Availability zone of the sidecar.
    pub zone: String,
    /// Pool of the server.
    pub pool: String,
    /// Kind of the backend.
    pub kind: Kind,
    /// Listen address for control connections of routers.
    pub control: SocketAddr,
    /// Listen address for request bodies from routers.
    pub data: SocketAddr,
    /// Listen address for metrics and health checks.
    pub status: SocketAddr,
    /// Address of the backend.
    pub backend: SocketAddr,
    /// Maximum number of concurrent requests of the backend.
    pub slots: u32,
    /// Endpoints of the key-value service.
    pub kv: Vec<SocketAddr>,
    /// Prefix of keys in the key-value service.
    #[serde(default = "prefix")]
    pub prefix: String,
    /// Maximum time to finish responses in a planned shutdown, in milliseconds.
    #[serde(default = "drain_ms")]
    pub drain_ms: u64,
    /// Retention of idempotency keys, in milliseconds.
    #[serde(default = "crate::router::retention_ms")]
    pub retention_ms: u64,
    /// Scheduling policy: `fair`, or `baseline`, which admits all requests immediately.
    #[serde(default)]
    pub policy: Policy,
    /// Log format: `json` or `terminal`.
    #[serde(default)]
    pub log: LogFormat,
}

fn prefix() -> String {
    "/mulberryyoke/".to_owned()
}

const fn drain_ms() -> u64 {
    60_000
}
