//! Reassembly of messages from packets.

use std::collections::HashMap;

use mulberryyoke_model::Incarnation;

use super::packet::{self, Packet};
use super::{DecodeError, Message};

/// Maximum number of senders with partial messages; at the limit, all partial messages are
/// discarded. Bounds the memory that packets from unknown senders can occupy.
const MAX_SENDERS: usize = 512;

/// A partially received message.
#[derive(Debug)]
struct Partial {
    sequence: u32,
    payloads: Vec<Option<Vec<u8>>>,
}

/// Reassembles messages from packets. Only the latest message of each sender is kept: one that
/// lost a packet is superseded by the next.
#[derive(Debug, Default)]
pub struct Assembler {
    partial: HashMap<Incarnation, Partial>,
}

impl Assembler {
    /// Processes a packet and returns its message once it is complete.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the packet or its message cannot be decoded.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<Option<Message>, DecodeError> {
        let packet = packet::decode(bytes)?;
        if packet.count == 1 {
            return Message::decode(packet.payload).map(Some);
        }
        let Some(bytes) = self.add(&packet) else {
            return Ok(None);
        };
        Message::decode(&bytes).map(Some)
    }

    /// Adds a packet and returns the bytes of its message once all packets have arrived.
    fn add(&mut self, packet: &Packet<'_>) -> Option<Vec<u8>> {
        if self.partial.len() >= MAX_SENDERS {
            self.partial.clear();
        }
        let count = usize::from(packet.count);
        let entry = self.partial.entry(packet.id.origin);
        let partial = entry.or_insert_with(|| Partial::new(packet.id.sequence, count));
        if partial.sequence != packet.id.sequence || partial.payloads.len() != count {
            *partial = Partial::new(packet.id.sequence, count);
        }
        partial.payloads[usize::from(packet.index)] = Some(packet.payload.to_vec());
        if partial.payloads.iter().any(Option::is_none) {
            return None;
        }
        let partial = self.partial.remove(&packet.id.origin)?;
        Some(partial.payloads.into_iter().flatten().flatten().collect())
    }
}

impl Partial {
    fn new(sequence: u32, count: usize) -> Self {
        Self {
            sequence,
            payloads: vec![None; count],
        }
    }
}
