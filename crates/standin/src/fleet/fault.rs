//! Faults by name.

use std::str::FromStr;

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A router is killed and later started again.
    RouterKill,
    /// A sidecar of an engine and one of a service are killed and started again.
    SidecarKill,
    /// Such two are frozen and wake later.
    SidecarFreeze,
    /// Half of the routers are cut off from the other half.
    RouterPartition,
    /// The key-value service is down.
    KvOutage,
    /// Answers of the key-value service are lost after writes took effect.
    KvLostAnswer,
    /// Leases lapse while a sidecar is paused.
    LeaseLapse,
    /// Two operators change one customer at the same moment.
    OperatorRace,
    /// A customer asks for twenty times its portion.
    Flood,
    /// An operator drains a server.
    ServerDrain,
    /// A router is stopped as planned.
    RouterStop,
    /// Sidecars are stopped as planned and started again.
    SidecarRestart,
    /// Links between the halves of the routers break again and again.
    ExchangeLoss,
}

/// Every fault and its word.
const WORDS: [(Fault, &str); 13] = [
    (Fault::RouterKill, "router-kill"),
    (Fault::SidecarKill, "sidecar-kill"),
    (Fault::SidecarFreeze, "sidecar-freeze"),
    (Fault::RouterPartition, "router-partition"),
    (Fault::KvOutage, "kv-outage"),
    (Fault::KvLostAnswer, "kv-lost-answer"),
    (Fault::LeaseLapse, "lease-lapse"),
    (Fault::OperatorRace, "operator-race"),
    (Fault::Flood, "flood"),
    (Fault::ServerDrain, "server-drain"),
    (Fault::RouterStop, "router-stop"),
    (Fault::SidecarRestart, "sidecar-restart"),
    (Fault::ExchangeLoss, "exchange-loss"),
];

impl Fault {
    /// The word of the flag.
    pub(crate) fn word(self) -> &'static str {
        let known = WORDS.iter().find(|(fault, _)| *fault == self);
        known.map_or("", |(_, word)| word)
    }

    /// Whether it may cut answers off; other faults must not.
    pub(crate) const fn cuts(self) -> bool {
        match self {
            Self::RouterKill | Self::SidecarKill | Self::SidecarFreeze | Self::LeaseLapse => true,
            Self::RouterPartition
            | Self::KvOutage
            | Self::KvLostAnswer
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

    fn from_str(word: &str) -> Result<Self, String> {
        let known = WORDS.iter().find(|(_, known)| *known == word);
        let allowed = || WORDS.map(|(_, word)| word).join(", ");
        known
            .map(|(fault, _)| *fault)
            .ok_or_else(|| format!("allowed are {}", allowed()))
    }
}
