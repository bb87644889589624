//! Composition of a fleet.

use std::time::Duration;

use serde_json::{Value, json};

/// Composition of a fleet. Engines are named `assistant-N` and services `booking-N`.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) routers: usize,
    /// Number of model servers.
    pub(crate) engines: usize,
    /// Number of servers of a service whose calls are not idempotent.
    pub(crate) services: usize,
    /// Number of servers, counted from the last, that are not configured at the start.
    pub(crate) unconfigured: usize,
    /// Maximum number of concurrent requests per server.
    pub(crate) slots: u32,
    /// Time an engine takes to generate a token.
    pub(crate) token_time: Duration,
    /// Time after which an engine cancels a stream that nobody reads.
    pub(crate) resume_timeout: Duration,
    /// Time a service call takes.
    pub(crate) latency: Duration,
    /// Whether routers connect to sidecars through relays.
    pub(crate) with_sidecar_relays: bool,
    /// Whether backends accept no connections until they are unblocked.
    pub(crate) block_backends: bool,
    /// Additional settings of routers.
    pub(crate) router_settings: Value,
    /// Additional settings of sidecars.
    pub(crate) sidecar_settings: Value,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            routers: 2,
            engines: 0,
            services: 0,
            unconfigured: 0,
            slots: 2,
            token_time: Duration::from_millis(10),
            resume_timeout: Duration::from_secs(1),
            latency: Duration::from_millis(10),
            with_sidecar_relays: false,
            block_backends: false,
            router_settings: json!({}),
            sidecar_settings: json!({}),
        }
    }
}

/// Customers, each with share 1.
pub(crate) const CUSTOMERS: [&str; 3] = ["scouts", "families", "schools"];

/// Bearer key of a customer.
pub(crate) fn bearer_key(customer: &str) -> String {
    format!("key-of-customer-{customer}")
}

/// Merges settings; `overrides` takes precedence.
pub(crate) fn merge(mut settings: Value, overrides: &Value) -> Value {
    for (name, value) in overrides.as_object().into_iter().flatten() {
        settings[name] = value.clone();
    }
    settings
}
