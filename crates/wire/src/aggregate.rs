//! UDP messages by which gateways exchange aggregated state.

mod assembler;
mod packet;

use mulberryyoke_decide::aggregate::{MessageId, State, Sum};
use mulberryyoke_decide::engine::{Load, Part};
use mulberryyoke_decide::quarantine::Suspect;
use mulberryyoke_decide::quarantine::parts::Report;
use mulberryyoke_decide::share::Flow;
use mulberryyoke_model::{CustomerId, Incarnation, PoolId, ServerId, VersionId, saturating_u32};
use serde::{Deserialize, Serialize};

pub use self::assembler::Assembler;
pub use self::packet::{DecodeError, MAX_BYTES};

/// Set of gateways whose state a message carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// The sender alone; sent to the collectors of its zone.
    Node {
        /// Hash of the gateway's name.
        node: u64,
        /// Whether the sender requests the fleet's sum from the receiver.
        wants_fleet: bool,
    },
    /// All gateways of a zone; sent to the collectors of the other zones.
    Zone {
        /// Hash of the zone's name.
        zone: u64,
    },
    /// The whole fleet; sent to the gateways of the sender's zone.
    Fleet,
}

/// State of one or more gateways. A message carries the full state and replaces earlier ones of
/// the same instance and scope.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Instance of the sender.
    pub origin: Incarnation,
    /// Sequence number within that instance.
    pub sequence: u32,
    /// Gateways whose state it carries.
    pub scope: Scope,
    /// Number of those gateways.
    pub gateways: u32,
    /// Messages of gateways in the sender's zone that the sum includes.
    pub members: Vec<MessageId>,
    /// Load per server; servers without load are omitted.
    pub servers: Vec<Server>,
    /// Recent tokens per customer.
    pub customers: Vec<Customer>,
    /// Shared prompt parts recently sent to servers for prefill.
    pub prefills: Vec<Prefill>,
    /// Requests that recently crashed servers. Encoded after the rest of the message, so that
    /// older releases can decode what precedes them.
    #[serde(skip)]
    pub suspects: Vec<Suspect>,
    /// Servers that announced that they are leaving. Encoded after the suspects for the same
    /// reason.
    #[serde(skip)]
    pub leaving: Vec<Leaving>,
    /// Servers whose speed differs from the usual. Encoded after the leaving servers for the same
    /// reason.
    #[serde(skip)]
    pub speeds: Vec<Speed>,
    /// Versions of pools that recently had several. Encoded after the speeds for the same reason.
    #[serde(skip)]
    pub versions: Vec<Sighting>,
    /// Prompt parts that recently crashed servers. Encoded after the versions for the same reason.
    #[serde(skip)]
    pub parts: Vec<Report>,
}

/// A version of the servers' software that a gateway saw in a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sighting {
    /// The pool.
    pub pool: PoolId,
    /// The version.
    pub version: VersionId,
    /// Time since a server of it was registered, in milliseconds.
    pub age_ms: u64,
}

/// What a gateway knows of a server's speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Speed {
    /// Instance of the server.
    pub server: ServerId,
    /// Learned ratio of expected to observed time.
    pub learned: Option<Figure>,
    /// Slowdown that the server reported.
    pub slowdown: Option<Figure>,
}

/// A figure with its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Figure {
    /// The figure, in percent of the usual.
    pub percent: u32,
    /// Time since it was observed, in milliseconds.
    pub age_ms: u64,
}

/// A server that announced to a gateway that it is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaving {
    /// Instance of the server.
    pub server: ServerId,
    /// Time since the announcement, in milliseconds.
    pub age_ms: u64,
}

/// Load of the gateways on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// The server.
    pub id: ServerId,
    /// Current load.
    pub load: Load,
}

/// Shared prompt parts sent to a server for prefill.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefill {
    /// The server.
    pub server: ServerId,
    /// The parts, in prompt order.
    pub shared: Vec<Part>,
}

/// Recent tokens of a customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// The customer.
    pub id: CustomerId,
    /// Tokens of received requests, with exponential decay.
    pub requested: u32,
    /// Tokens of requests sent to servers, with exponential decay.
    pub granted: u32,
}

impl Message {
    /// Creates a message that carries a sum.
    #[must_use]
    pub fn new(from: MessageId, scope: Scope, sum: &Sum, prefills: Vec<Prefill>) -> Self {
        let servers = sum.state.loads.iter();
        let servers = servers.filter(|(_, load)| **load != Load::default());
        let customers = sum.state.flows.iter();
        Self {
            origin: from.origin,
            sequence: from.sequence,
            scope,
            gateways: sum.gateways,
            members: sum.members.clone(),
            servers: servers.map(|(&id, &load)| Server { id, load }).collect(),
            customers: customers
                .map(|(&id, flow)| Customer::new(id, *flow))
                .collect(),
            prefills,
            suspects: Vec::new(),
            leaving: Vec::new(),
            speeds: Vec::new(),
            versions: Vec::new(),
            parts: Vec::new(),
        }
    }

    /// Identity of the message.
    #[must_use]
    pub const fn id(&self) -> MessageId {
        MessageId {
            origin: self.origin,
            sequence: self.sequence,
        }
    }

    /// The sum that the message carries.
    #[must_use]
    pub fn sum(&self) -> Sum {
        let loads = self.servers.iter().map(|server| (server.id, server.load));
        let flows = self.customers.iter().map(Customer::flow);
        Sum {
            gateways: self.gateways,
            members: self.members.clone(),
            state: State {
                loads: loads.collect(),
                flows: flows.collect(),
            },
        }
    }

    /// Encodes the message as packets. While it is too large, the second half of the prefills is
    /// dropped, and once there are none, that of the servers.
    #[must_use]
    pub fn encode(&mut self) -> Vec<Vec<u8>> {
        loop {
            let bytes = self.to_bytes();
            if let Some(packets) = packet::split(self.id(), &bytes) {
                return packets;
            }
            let (prefills, servers) = (self.prefills.len(), self.servers.len());
            match (prefills, servers) {
                (0, 0) => return Vec::new(),
                (0, _) => self.servers.truncate(servers / 2),
                (_, _) => self.prefills.truncate(prefills / 2),
            }
        }
    }

    /// Decodes a reassembled message.
    fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let decoded = postcard::take_from_bytes::<Self>(bytes);
        let (mut message, rest) = decoded.map_err(|_| DecodeError::Message)?;
        let rest = decode_trailing(rest, &mut message.suspects)?;
        let rest = decode_trailing(rest, &mut message.leaving)?;
        let rest = decode_trailing(rest, &mut message.speeds)?;
        let rest = decode_trailing(rest, &mut message.versions)?;
        decode_trailing(rest, &mut message.parts)?;
        Ok(message)
    }

    fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        // A field can be decoded only after those before it.
        let has_parts = !self.parts.is_empty();
        let has_versions = has_parts || !self.versions.is_empty();
        let has_speeds = has_versions || !self.speeds.is_empty();
        let has_leaving = has_speeds || !self.leaving.is_empty();
        if has_leaving || !self.suspects.is_empty() {
            bytes.extend(postcard::to_stdvec(&self.suspects).unwrap_or_default());
        }
        if has_leaving {
            bytes.extend(postcard::to_stdvec(&self.leaving).unwrap_or_default());
        }
        if has_speeds {
            bytes.extend(postcard::to_stdvec(&self.speeds).unwrap_or_default());
        }
        if has_versions {
            bytes.extend(postcard::to_stdvec(&self.versions).unwrap_or_default());
        }
        if has_parts {
            bytes.extend(postcard::to_stdvec(&self.parts).unwrap_or_default());
        }
        bytes
    }
}

/// Decodes an optional trailing field and returns the remaining bytes.
fn decode_trailing<'a, T: Deserialize<'a>>(
    bytes: &'a [u8],
    field: &mut T,
) -> Result<&'a [u8], DecodeError> {
    if bytes.is_empty() {
        return Ok(bytes);
    }
    let (value, rest) = postcard::take_from_bytes(bytes).map_err(|_| DecodeError::Message)?;
    *field = value;
    Ok(rest)
}

impl Customer {
    fn new(id: CustomerId, flow: Flow) -> Self {
        Self {
            id,
            requested: saturating_u32(flow.requested),
            granted: saturating_u32(flow.granted),
        }
    }

    fn flow(&self) -> (CustomerId, Flow) {
        let flow = Flow {
            requested: f64::from(self.requested),
            granted: f64::from(self.granted),
        };
        (self.id, flow)
    }
}
