//! Settings of a router.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::{Limits, Operator};

/// Settings of a router.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Router {
    /// Unique name of the router, as in the VM list.
    pub name: String,
    /// Region of the router.
    #[serde(default)]
    pub region: String,
    /// Availability zone of the router.
    pub zone: String,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for operators, metrics and health checks.
    pub operators: SocketAddr,
    /// Listen address for other routers.
    pub control: SocketAddr,
    /// Endpoints of the key-value service.
    pub kv: Vec<SocketAddr>,
    /// Address of the VM list.
    pub vms: SocketAddr,
    /// Prefix of keys in the key-value service.
    #[serde(default = "prefix")]
    pub prefix: String,
    /// Operators that may run commands.
    #[serde(default)]
    pub operator_keys: Vec<Operator>,
    /// Limits of the router.
    #[serde(default)]
    pub limits: Limits,
    /// Interval of usage exchanges, in milliseconds.
    #[serde(default = "exchange_ms")]
    pub exchange_ms: u64,
    /// Interval of heartbeats on idle connections to sidecars, in milliseconds.
    #[serde(default = "heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Maximum time to finish responses in a planned shutdown, in milliseconds.
    #[serde(default = "drain_ms")]
    pub drain_ms: u64,
    /// Retention of idempotency keys, in milliseconds.
    #[serde(default = "retention_ms")]
    pub retention_ms: u64,
    /// Scheduling policy: `fair` or `baseline`.
    #[serde(default)]
    pub policy: Policy,
    /// Log format: `json` or `terminal`.
    #[serde(default)]
    pub log: LogFormat,
}

/// Scheduling policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Policy {
    /// Fleet-wide fair queueing with late binding to servers.
    #[default]
    Fair,
    /// Least loaded of two random servers, with queueing in the engines.
    Baseline,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Colored text.
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
