//! Settings of a router.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::{Limits, Operator};

/// Settings of a router.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Router {
    /// Unique name, as in the VM list.
    pub name: String,
    /// Region it runs in.
    #[serde(default)]
    pub region: String,
    /// Availability zone it runs in.
    pub zone: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect; metrics and health are here too.
    pub operators: SocketAddr,
    /// Where other routers connect.
    pub control: SocketAddr,
    /// The key-value service's endpoints, `host:port`.
    pub kv: Vec<SocketAddr>,
    /// Where the VM list is served.
    pub vms: SocketAddr,
    /// Prefix of the configuration's keys.
    #[serde(default = "prefix")]
    pub prefix: String,
    /// Who may give commands.
    #[serde(default)]
    pub operator_keys: Vec<Operator>,
    /// Bounds.
    #[serde(default)]
    pub limits: Limits,
    /// Time between usage exchanges, in milliseconds.
    #[serde(default = "exchange_ms")]
    pub exchange_ms: u64,
    /// Time between heartbeats on idle links to sidecars, in milliseconds.
    #[serde(default = "heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Longest time a planned stop lets answers run on, in milliseconds.
    #[serde(default = "drain_ms")]
    pub drain_ms: u64,
    /// How long idempotency keys are remembered, in milliseconds.
    #[serde(default = "retention_ms")]
    pub retention_ms: u64,
    /// `fair`, or `baseline` for least-loaded of two without order.
    #[serde(default)]
    pub policy: Policy,
    /// Log form: `json` or `terminal`.
    #[serde(default)]
    pub log: LogFormat,
}

/// How requests are ordered and placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Policy {
    /// Fleet-wide fair order with late binding.
    #[default]
    Fair,
    /// Least-loaded of two servers, queues inside the engines, no order.
    Baseline,
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// Coloured text.
    Terminal,
}

fn prefix() -> String {
    "/mulberryyoke/".to_owned()
}

const fn exchange_ms() -> u64 {
    1_000
}

const fn heartbeat_ms() -> u64 {
    1_000
}

const fn drain_ms() -> u64 {
    60_000
}

pub(crate) const fn retention_ms() -> u64 {
    600_000
}
