//! Updates of the VM list and its statistics.

use std::collections::BTreeMap;

use mulberryyoke_platform::vm::{State, Vm};
use serde::{Deserialize, Serialize};

/// Update of the list and of the injected faults. Omitted fields change nothing.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Update {
    /// Whether the service is unavailable: closes all connections, and new ones on their first
    /// call.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outage: Option<bool>,
    /// Delay of responses, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
    /// Delay before this and later changes appear in the list, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lag_ms: Option<u64>,
    /// VMs to add or replace.
    pub add: Vec<Vm>,
    /// New states of VMs by name.
    pub states: BTreeMap<String, State>,
    /// Names of VMs to remove.
    pub remove: Vec<String>,
}

/// Statistics since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Number of reads of the list.
    pub total: u64,
    /// Number of VMs in the list.
    pub vms: usize,
}
