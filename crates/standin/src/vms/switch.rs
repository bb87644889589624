//! Switches and counts.

use std::collections::BTreeMap;

use mulberryyoke_platform::vm::{State, Vm};
use serde::{Deserialize, Serialize};

/// Changes to the list and faults; a field that is left out changes nothing.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Update {
    /// Every connection is cut, and every later one at its first call.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outage: Option<bool>,
    /// Time before a call is answered, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
    /// Time before a later change shows in the list, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lag_ms: Option<u64>,
    /// VMs to add or replace.
    pub add: Vec<Vm>,
    /// States to set, by name.
    pub states: BTreeMap<String, State>,
    /// Names of VMs to take off the list.
    pub remove: Vec<String>,
}

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Times the list was read.
    pub total: u64,
    /// VMs that the list shows now.
    pub vms: usize,
}
