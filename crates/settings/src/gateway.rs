//! Settings of a gateway: a router that talks straight to backend servers.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::number;

/// Settings of a gateway.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// Unique name.
    pub name: String,
    /// Availability zone it runs in.
    pub zone: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where its readiness is asked for.
    pub health: SocketAddr,
    /// Where other gateways send what they know; metrics are here too, over TCP.
    pub control: SocketAddr,
    /// Where other gateways of the zone hand callers' connections on; none do when absent.
    pub handoff: Option<SocketAddr>,
    /// The key-value service.
    pub store: SocketAddr,
    /// Age of the configuration from which requests with a key are refused, in
    /// milliseconds; never when absent.
    #[serde(default, deserialize_with = "number::some_whole")]
    pub keys_fresh_ms: Option<u64>,
    /// Longest time of a planned stop, in milliseconds.
    #[serde(default = "grace_ms", deserialize_with = "number::whole")]
    pub grace_ms: u64,
    /// Retries that the fleet may make for each request.
    #[serde(default = "retry_ratio")]
    pub retry_ratio: f64,
    /// Retries that the fleet may make beyond, in a window of ten seconds.
    #[serde(default = "retry_slack")]
    pub retry_slack: f64,
    /// Times as many requests a second as a cold server is made for that it may get.
    #[serde(default = "cold_overage")]
    pub cold_overage: f64,
    /// Requests beyond that a cold server may get in some second.
    #[serde(default)]
    pub cold_slack: f64,
    /// Processors that the process has, or the part of one: those with most of it work for
    /// the others of their zone.
    #[serde(default = "processors")]
    pub processors: f64,
    /// File descriptors that the process may have open.
    #[serde(default = "descriptors", deserialize_with = "number::whole")]
    pub descriptors: u64,
}

impl Gateway {
    /// What is fixed for the life of a process: name, zone and addresses.
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

    /// These settings at the place of others.
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
