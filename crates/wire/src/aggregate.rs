//! What gateways tell each other, many times a second, in datagrams that fit a packet each.

mod assembler;
mod packet;

use mulberryyoke_decide::aggregate::{MessageId, State, Sum};
use mulberryyoke_decide::engine::{Load, Part};
use mulberryyoke_decide::quarantine::Suspect;
use mulberryyoke_decide::share::Flow;
use mulberryyoke_model::{CustomerId, Incarnation, ServerId, saturating_u32};
use serde::{Deserialize, Serialize};

pub use self::assembler::Assembler;
pub use self::packet::{DecodeError, MAX_BYTES};

/// Whose state a message tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// The sender's own, told to the collectors of its zone.
    Node {
        /// A hash of its name.
        node: u64,
        /// Whether it wants the fleet's sum from the receiver.
        wants_fleet: bool,
    },
    /// That of all gateways of a zone, told to the collectors of the others.
    Zone {
        /// A hash of its name.
        zone: u64,
    },
    /// That of the whole fleet, told to the gateways of the sender's zone.
    Fleet,
}

/// What one or more gateways have at the servers. It is told whole, and a later message of
/// the same life and scope takes the place of earlier ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's life.
    pub origin: Incarnation,
    /// Counts the messages of that life.
    pub sequence: u32,
    /// Whose state it tells.
    pub scope: Scope,
    /// Gateways whose state it tells.
    pub gateways: u32,
    /// Those of the sender's zone, and the messages of theirs that it holds.
    pub members: Vec<MessageId>,
    /// What they have at each server; nothing where none is named.
    pub servers: Vec<Server>,
    /// What customers lately asked of them and were given.
    pub customers: Vec<Customer>,
    /// Shared prompt parts that servers were lately given to read.
    pub prefills: Vec<Prefill>,
    /// Requests that lately ended servers. They follow the rest of the message: a gateway of a
    /// release that does not know them reads up to there.
    #[serde(skip)]
    pub suspects: Vec<Suspect>,
    /// Servers that said that they leave. They follow the suspects, as these the rest.
    #[serde(skip)]
    pub leaving: Vec<Leaving>,
}

/// A server that said to a gateway that it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaving {
    /// The life of the server.
    pub server: ServerId,
    /// Time since it said so, in milliseconds.
    pub age_ms: u64,
}

/// What gateways have at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// The server.
    pub id: ServerId,
    /// What they have there now.
    pub load: Load,
}

/// Shared prompt parts that a server was given to read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefill {
    /// The server.
    pub server: ServerId,
    /// The parts, in order.
    pub shared: Vec<Part>,
}

/// What a customer lately asked of gateways and was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// The customer.
    pub id: CustomerId,
    /// Tokens asked, those of long ago counting less.
    pub requested: u32,
    /// Tokens of the requests that were sent to servers, likewise.
    pub granted: u32,
}

impl Message {
    /// A message that tells a sum.
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
        }
    }

    /// The message's number in its sender's life.
    #[must_use]
    pub const fn id(&self) -> MessageId {
        MessageId {
            origin: self.origin,
            sequence: self.sequence,
        }
    }

    /// The sum that it tells.
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

    /// Encodes a message as packets. What exceeds the most that one message may have is left
    /// out: half of the reads at a time, those last told first.
    #[must_use]
    pub fn encode(&mut self) -> Vec<Vec<u8>> {
        loop {
            let bytes = self.bytes();
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

    /// Reads the bytes of a whole message.
    fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let read = postcard::take_from_bytes::<Self>(bytes);
        let (mut message, rest) = read.map_err(|_| DecodeError::Message)?;
        let rest = follow(rest, &mut message.suspects)?;
        follow(rest, &mut message.leaving)?;
        Ok(message)
    }

    fn bytes(&self) -> Vec<u8> {
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        let has_leaving = !self.leaving.is_empty();
        if has_leaving || !self.suspects.is_empty() {
            bytes.extend(postcard::to_stdvec(&self.suspects).unwrap_or_default());
        }
        if has_leaving {
            bytes.extend(postcard::to_stdvec(&self.leaving).unwrap_or_default());
        }
        bytes
    }
}

/// Reads what follows a message, if anything does; the rest is what follows that.
fn follow<'a, T: Deserialize<'a>>(bytes: &'a [u8], to: &mut T) -> Result<&'a [u8], DecodeError> {
    if bytes.is_empty() {
        return Ok(bytes);
    }
    let (read, rest) = postcard::take_from_bytes(bytes).map_err(|_| DecodeError::Message)?;
    *to = read;
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
