//! Fault injection.

use serde::{Deserialize, Serialize};

/// Update of the injected faults. Omitted fields keep their value.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Whether the service is unavailable: closes all connections, and new ones on their first
    /// call.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outage: Option<bool>,
    /// Delay before a call takes effect, in milliseconds. The call takes effect even if the client
    /// disconnects meanwhile.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
    /// Number of following writes that take effect but whose connection is closed without a
    /// response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_answers: Option<u64>,
    /// Fixed response to the following calls.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fail: Option<ScriptedResponse>,
    /// Interval of progress notifications on watches that request them, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub progress_ms: Option<u64>,
    /// Actions to execute once, in order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub once: Vec<Action>,
}

/// Action that is executed once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Saves a snapshot of the contents.
    Snapshot,
    /// Restores the last snapshot, or the initial contents without one, and closes all connections.
    Restore,
    /// Expires all leases.
    #[serde(rename = "lapse_leases")]
    ExpireLeases,
    /// Compacts the history up to the current revision.
    Compact,
    /// Closes all connections.
    #[serde(rename = "cut")]
    Disconnect,
}

/// Fixed response to the following calls, which have no effect.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScriptedResponse {
    /// Number of calls.
    pub times: u64,
    /// HTTP status code.
    pub status: u16,
    /// Body.
    #[serde(default)]
    pub body: String,
}
