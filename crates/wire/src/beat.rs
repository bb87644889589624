//! What gateways tell each other, many times a second, in datagrams that fit a packet each.

mod assembler;
mod packet;

use mulberryyoke_decide::aggregate::{MessageId, State, Sum};
use mulberryyoke_decide::engine::{Load, Part};
use mulberryyoke_decide::quarantine::Suspect;
use mulberryyoke_decide::share::Flow;
use mulberryyoke_model::{CustomerId, Incarnation, ServerId, whole_u32};
use serde::{Deserialize, Serialize};

pub use self::assembler::Assembler;
pub use self::packet::{MAX_BYTES, Unreadable};

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
pub struct Beat {
    /// The sender's life.
    pub origin: Incarnation,
    /// Counts the messages of that life.
    pub number: u32,
    /// Whose state it tells.
    pub scope: Scope,
    /// Gateways whose state it tells.
    pub nodes: u32,
    /// Those of the sender's zone, and the messages of theirs that it holds.
    pub members: Vec<MessageId>,
    /// What they have at each server; nothing where none is named.
    pub servers: Vec<Server>,
    /// What customers lately asked of them and were given.
    pub customers: Vec<Customer>,
    /// Shared prompt parts that servers were lately given to read.
    pub reads: Vec<Read>,
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
pub struct Read {
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
    pub asked: u32,
    /// Tokens of the requests that were sent to servers, likewise.
    pub given: u32,
}

impl Beat {
    /// A message that tells a sum.
    #[must_use]
    pub fn new(from: MessageId, scope: Scope, sum: &Sum, reads: Vec<Read>) -> Self {
        let servers = sum.state.loads.iter();
        let servers = servers.filter(|(_, load)| **load != Load::default());
        let customers = sum.state.flows.iter();
        Self {
            origin: from.origin,
            number: from.sequence,
            scope,
            nodes: sum.gateways,
            members: sum.members.clone(),
            servers: servers.map(|(&id, &load)| Server { id, load }).collect(),
            customers: customers
                .map(|(&id, flow)| Customer::new(id, *flow))
                .collect(),
            reads,
            suspects: Vec::new(),
            leaving: Vec::new(),
        }
    }

    /// The message's number in its sender's life.
    #[must_use]
    pub const fn member(&self) -> MessageId {
        MessageId {
            origin: self.origin,
            sequence: self.number,
        }
    }

    /// The sum that it tells.
    #[must_use]
    pub fn sum(&self) -> Sum {
        let loads = self.servers.iter().map(|server| (server.id, server.load));
        let flows = self.customers.iter().map(Customer::flow);
        Sum {
            gateways: self.nodes,
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
            if let Some(packets) = packet::split(self.member(), &bytes) {
                return packets;
            }
            let (reads, servers) = (self.reads.len(), self.servers.len());
            match (reads, servers) {
                (0, 0) => return Vec::new(),
                (0, _) => self.servers.truncate(servers / 2),
                (_, _) => self.reads.truncate(reads / 2),
            }
        }
    }

    /// Reads the bytes of a whole message.
    fn decode(bytes: &[u8]) -> Result<Self, Unreadable> {
        let read = postcard::take_from_bytes::<Self>(bytes);
        let (mut beat, rest) = read.map_err(|_| Unreadable::Message)?;
        let rest = follow(rest, &mut beat.suspects)?;
        follow(rest, &mut beat.leaving)?;
        Ok(beat)
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
fn follow<'a, T: Deserialize<'a>>(bytes: &'a [u8], to: &mut T) -> Result<&'a [u8], Unreadable> {
    if bytes.is_empty() {
        return Ok(bytes);
    }
    let (read, rest) = postcard::take_from_bytes(bytes).map_err(|_| Unreadable::Message)?;
    *to = read;
    Ok(rest)
}

impl Customer {
    fn new(id: CustomerId, flow: Flow) -> Self {
        Self {
            id,
            asked: whole_u32(flow.requested),
            given: whole_u32(flow.granted),
        }
    }

    fn flow(&self) -> (CustomerId, Flow) {
        let flow = Flow {
            requested: f64::from(self.asked),
            granted: f64::from(self.given),
        };
        (self.id, flow)
    }
}
