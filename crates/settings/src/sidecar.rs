//! Settings of a sidecar.

use std::net::SocketAddr;

use mulberryyoke_model::Kind;
use serde::Deserialize;

use crate::router::{LogFormat, Policy};

/// Settings of a sidecar.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sidecar {
    /// Name of the server, as configured by operators and in the VM list.
    pub name: String,
    /// Region it runs in.
    #[serde(default)]
    pub region: String,
    /// Availability zone it runs in.
    pub zone: String,
    /// Name of the pool.
    pub pool: String,
    /// What the backend is.
    pub kind: Kind,
    /// Where routers connect for control.
    pub control: SocketAddr,
    /// Where routers send bodies.
    pub data: SocketAddr,
    /// Where metrics and health are served.
    pub status: SocketAddr,
    /// Where the backend listens.
    pub backend: SocketAddr,
    /// Requests the backend runs at once; more wait in the fleet.
    pub slots: u32,
    /// The key-value service's endpoints.
    pub kv: Vec<SocketAddr>,
    /// Prefix of the key-value service's keys.
    #[serde(default = "prefix")]
    pub prefix: String,
    /// Longest time a planned stop lets answers run on, in milliseconds.
    #[serde(default = "drain_ms")]
    pub drain_ms: u64,
    /// How long idempotency keys are remembered, in milliseconds.
    #[serde(default = "crate::router::retention_ms")]
    pub retention_ms: u64,
    /// `fair`, or `baseline`, which admits everything at once.
    #[serde(default)]
    pub policy: Policy,
    /// Log form: `json` or `terminal`.
    #[serde(default)]
    pub log: LogFormat,
}

fn prefix() -> String {
    "/mulberryyoke/".to_owned()
}

const fn drain_ms() -> u64 {
    60_000
}
