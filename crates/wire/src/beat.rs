//! What gateways tell each other, many times a second, in single datagrams.

use mulberryyoke_decide::engine::{Load, Part};
use mulberryyoke_model::{CustomerId, Incarnation, ServerId};
use serde::{Deserialize, Serialize};

/// Largest encoded beat, in bytes: it fits into one packet.
pub const MAX_BYTES: usize = 1_400;

/// What one gateway has at the servers. A later beat takes the place of earlier ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The gateway's life.
    pub origin: Incarnation,
    /// Counts the beats of that life.
    pub number: u32,
    /// What the gateway has at each server; nothing where none is named.
    pub servers: Vec<Server>,
    /// Shared prompt parts that it lately had servers read.
    pub reads: Vec<Read>,
    /// What customers lately asked of it and were given; empty when unchanged.
    pub customers: Vec<Customer>,
}

/// What a gateway has at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// The server.
    pub id: ServerId,
    /// What it has there now.
    pub load: Load,
    /// Prompt tokens that it sent there in its life; the count wraps.
    pub sent: u32,
}

/// Shared prompt parts that a server was given to read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
    /// The server.
    pub server: ServerId,
    /// The parts, in order.
    pub shared: Vec<Part>,
}

/// What a customer lately asked of a gateway and was given.
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
    /// Encodes a beat, leaving out what exceeds one packet: the reads last told first.
    #[must_use]
    pub fn encode(&mut self) -> Vec<u8> {
        loop {
            let bytes = postcard::to_stdvec(self).unwrap_or_default();
            if bytes.len() <= MAX_BYTES || (self.reads.is_empty() && self.customers.is_empty()) {
                return bytes;
            }
            if self.reads.pop().is_none() {
                self.customers.pop();
            }
        }
    }

    /// Reads an encoded beat; `None` if it is none.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
