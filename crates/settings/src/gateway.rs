//! Settings of a gateway, a router that connects to backend servers directly.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::number;

/// Settings of a gateway.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// Unique name of the gateway.
    pub name: String,
    /// Availability zone of the gateway.
    pub zone: String,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address of the readiness endpoint.
    pub health: SocketAddr,
    /// Listen address for other gateways and, over TCP, for metrics.
    pub control: SocketAddr,
    /// Listen address for connections handed off by other gateways of the zone. No handoff when
    /// absent.
    pub handoff: Option<SocketAddr>,
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Age of the configuration from which requests that need a customer key are rejected, in
    /// milliseconds. No limit when absent.
    #[serde(default, deserialize_with = "number::optional_truncated")]
    pub keys_fresh_ms: Option<u64>,
    /// Maximum duration of a planned shutdown, in milliseconds.
    #[serde(default = "grace_ms", deserialize_with = "number::truncated")]
    pub grace_ms: u64,
    /// Retry budget of the fleet per request.
    #[serde(default = "retry_ratio")]
    pub retry_ratio: f64,
    /// Additional retries of the fleet in a window of ten seconds.
    #[serde(default = "retry_slack")]
    pub retry_slack: f64,
    /// Maximum request rate of a cold server, as a multiple of the rate it is sized for.
    #[serde(default = "cold_overage")]
    pub cold_overage: f64,
    /// Additional requests that a cold server may receive in any second.
    #[serde(default)]
    pub cold_slack: f64,
    /// Processors available to the process; may be fractional. The gateways of a zone with the
    /// most processors work for the others.
    #[serde(default = "processors")]
    pub processors: f64,
    /// Maximum number of open file descriptors of the process.
    #[serde(default = "descriptors", deserialize_with = "number::truncated")]
    pub descriptors: u64,
    /// Memory of the process, in megabytes of 2^20 bytes. A fraction of it is the budget for bytes
    /// held for callers. Without it, each response holds a fixed number of chunks.
    #[serde(default, deserialize_with = "number::optional_truncated")]
    pub memory_mb: Option<u64>,
    /// Writes per second that the key-value service takes from all gateways together. When absent, a
    /// low rate is assumed.
    pub kv_writes_per_s: Option<f64>,
}

impl Gateway {
    /// Returns the settings that cannot change while a process runs: name, zone and addresses.
    #[must_use]
    pub fn identity(&self) -> (&str, &str, [Option<SocketAddr>; 5]) {
        let addresses = [
            Some(self.callers),
            Some(self.health),
            Some(self.control),
            self.handoff,
            Some(self.store),
        ];
        (&self.name, &self.zone, addresses)
    }

    /// Returns these settings with the name, zone and addresses of `other`.
    #[must_use]
    pub fn with_identity_of(self, other: &Self) -> Self {
        Self {
            name: other.name.clone(),
            zone: other.zone.clone(),
            callers: other.callers,
            health: other.health,
            control: other.control,
            handoff: other.handoff,
            store: other.store,
            ..self
        }
    }
}

const fn grace_ms() -> u64 {
    8_000
}

const fn retry_ratio() -> f64 {
    0.2
}

const fn retry_slack() -> f64 {
    20.0
}

const fn cold_overage() -> f64 {
    1.0
}

const fn processors() -> f64 {
    1.0
}

const fn descriptors() -> u64 {
    1_024
}
