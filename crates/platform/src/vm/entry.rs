//! An entry of the VM list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// An entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Unique name, as in the settings of the process that runs there.
    pub name: String,
    /// What runs there.
    pub role: Role,
    /// Region it runs in.
    #[serde(default)]
    pub region: String,
    /// Availability zone it runs in.
    #[serde(default)]
    pub zone: String,
    /// Control port of the process.
    pub control: SocketAddr,
    /// Whether it stays.
    pub state: State,
}

/// What runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A router.
    Router,
    /// A sidecar beside a backend server.
    Sidecar,
    /// Something that is not part of this system.
    #[serde(other)]
    Other,
}

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// In service.
    Live,
    /// About to be taken away.
    Leaving,
}
