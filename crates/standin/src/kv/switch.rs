//! Switches for faults.

use serde::{Deserialize, Serialize};

/// Faults to switch on or off; a field that is left out changes nothing.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Every connection is cut, and every later one at its first call.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outage: Option<bool>,
    /// Time before a call takes effect, in milliseconds. It takes effect even if the
    /// caller has gone by then.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
    /// How many of the next writes take effect and have their connection cut before
    /// the answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_answers: Option<u64>,
    /// Answers that take the place of the next ones.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fail: Option<ScriptedResponse>,
    /// Time between signs of life on a watch that asked for them, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub progress_ms: Option<u64>,
    /// Orders to carry out once, in turn.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub once: Vec<Action>,
}

/// An order to carry out once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Keep the present contents for `Restore`.
    Snapshot,
    /// Come back with the contents of the last snapshot (empty without one); every
    /// connection is cut.
    Restore,
    /// Let all leases lapse.
    #[serde(rename = "lapse_leases")]
    ExpireLeases,
    /// Forget all history.
    Compact,
    /// Cut every connection there is.
    #[serde(rename = "cut")]
    Disconnect,
}

/// Answers that take the place of the next ones; their calls have no effect.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScriptedResponse {
    /// How many.
    pub times: u64,
    /// HTTP status code.
    pub status: u16,
    /// Body.
    #[serde(default)]
    pub body: String,
}
