//! What a fleet consists of.

use std::time::Duration;

use serde_json::{Value, json};

/// What a fleet consists of. The names of its servers are `assistant-N` and
/// `booking-N`.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) routers: usize,
    /// Model servers.
    pub(crate) engines: usize,
    /// Servers of a plain service whose calls may not be repeated.
    pub(crate) services: usize,
    /// How many of all servers, the last ones, are not configured yet.
    pub(crate) spare: usize,
    /// Requests that a server runs at once.
    pub(crate) slots: u32,
    /// Time of one token.
    pub(crate) token: Duration,
    /// Time of one call of the plain service.
    pub(crate) latency: Duration,
    /// Whether routers reach sidecars through relays.
    pub(crate) relayed: bool,
    /// Whether connections to backends are set up only once their gates are opened.
    pub(crate) gated: bool,
    /// Settings of routers beside the usual ones.
    pub(crate) router: Value,
    /// Settings of sidecars beside the usual ones.
    pub(crate) sidecar: Value,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            routers: 2,
            engines: 0,
            services: 0,
            spare: 0,
            slots: 2,
            token: Duration::from_millis(10),
            latency: Duration::from_millis(10),
            relayed: false,
            gated: false,
            router: json!({}),
            sidecar: json!({}),
        }
    }
}

/// Customers, all of share 1.
pub(crate) const CUSTOMERS: [&str; 3] = ["scouts", "families", "schools"];

/// The bearer key of a customer.
pub(crate) fn key(customer: &str) -> String {
    format!("key-of-customer-{customer}")
}

/// Adds settings to others.
pub(crate) fn with(mut settings: Value, more: &Value) -> Value {
    for (name, value) in more.as_object().into_iter().flatten() {
        settings[name] = value.clone();
    }
    settings
}
