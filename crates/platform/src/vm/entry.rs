//! Entries of the VM list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// An entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Unique name, as in the settings of the process that runs on the VM.
    pub name: String,
    /// Role of the process that runs on the VM.
    pub role: Role,
    /// Region of the VM.
    #[serde(default)]
    pub region: String,
    /// Availability zone of the VM.
    #[serde(default)]
    pub zone: String,
    /// Control address of the process.
    pub control: SocketAddr,
    /// Lifecycle state.
    pub state: State,
}

/// Role of the process that runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A router.
    Router,
    /// A sidecar beside a backend server.
    Sidecar,
    /// Not part of this system.
    #[serde(other)]
    Other,
}

/// Lifecycle state of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// In service.
    Live,
    /// Scheduled for removal.
    Leaving,
}
