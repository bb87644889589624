//! Faults that the launcher injects.

use std::str::FromStr;

/// A fault to inject during the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A router is killed and later started again.
    RouterKill,
    /// The sidecars of an engine and of a service are killed and later started again.
    SidecarKill,
    /// The sidecars of an engine and of a service are suspended and later resumed.
    SidecarFreeze,
    /// The two groups of routers cannot connect to each other.
    RouterPartition,
    /// The key-value service is unavailable.
    KvOutage,
    /// The key-value service applies writes without sending a response.
    KvLostResponse,
    /// Leases expire while sidecars are suspended.
    LeaseExpiry,
    /// Two operators change a customer concurrently.
    OperatorRace,
    /// A customer sends twenty times the rate that would use its share of the slots.
    Flood,
    /// An operator drains a server.
    ServerDrain,
    /// A router is shut down gracefully and later started again.
    RouterStop,
    /// The sidecars of an engine and of a service are shut down gracefully and restarted.
    SidecarRestart,
    /// Connections between the two groups of routers are closed repeatedly.
    ExchangeLoss,
}

/// Names of the faults on the command line.
const NAMES: [(Fault, &str); 13] = [
    (Fault::RouterKill, "router-kill"),
    (Fault::SidecarKill, "sidecar-kill"),
    (Fault::SidecarFreeze, "sidecar-freeze"),
    (Fault::RouterPartition, "router-partition"),
    (Fault::KvOutage, "kv-outage"),
    (Fault::KvLostResponse, "kv-lost-answer"),
    (Fault::LeaseExpiry, "lease-lapse"),
    (Fault::OperatorRace, "operator-race"),
    (Fault::Flood, "flood"),
    (Fault::ServerDrain, "server-drain"),
    (Fault::RouterStop, "router-stop"),
    (Fault::SidecarRestart, "sidecar-restart"),
    (Fault::ExchangeLoss, "exchange-loss"),
];

impl Fault {
    /// Name on the command line.
    pub(crate) fn name(self) -> &'static str {
        let entry = NAMES.iter().find(|(fault, _)| *fault == self);
        entry.map_or("", |(_, name)| name)
    }

    /// Whether the fault may interrupt responses.
    pub(crate) const fn may_interrupt_responses(self) -> bool {
        match self {
            Self::RouterKill | Self::SidecarKill | Self::SidecarFreeze | Self::LeaseExpiry => true,
            Self::RouterPartition
            | Self::KvOutage
            | Self::KvLostResponse
            | Self::OperatorRace
            | Self::Flood
            | Self::ServerDrain
            | Self::RouterStop
            | Self::SidecarRestart
            | Self::ExchangeLoss => false,
        }
    }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let entry = NAMES.iter().find(|(_, known)| *known == name);
        let names = || NAMES.map(|(_, name)| name).join(", ");
        entry
            .map(|(fault, _)| *fault)
            .ok_or_else(|| format!("expected one of {}", names()))
    }
}
