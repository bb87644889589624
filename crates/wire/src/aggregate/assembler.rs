//! Putting messages together from their packets.

use std::collections::HashMap;

use mulberryyoke_model::Incarnation;

use super::packet::{self, Packet};
use super::{DecodeError, Message};

/// Senders of whose messages parts are kept; with more, all parts are forgotten. It bounds
/// what packets of unknown senders can make a gateway keep.
const SENDERS: usize = 512;

/// A message of which parts have come.
#[derive(Debug)]
struct Partial {
    number: u32,
    parts: Vec<Option<Vec<u8>>>,
}

/// Puts messages together from their packets. Of each sender the message last begun is kept:
/// one that lost a packet is made up for by the next.
#[derive(Debug, Default)]
pub struct Assembler {
    partial: HashMap<Incarnation, Partial>,
}

impl Assembler {
    /// Takes in a packet, and returns its message once that is whole.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] when the packet or its message cannot be read.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<Option<Message>, DecodeError> {
        let packet = packet::read(bytes)?;
        if packet.count == 1 {
            return Message::decode(packet.part).map(Some);
        }
        let Some(whole) = self.add(&packet) else {
            return Ok(None);
        };
        Message::decode(&whole).map(Some)
    }

    /// Adds a part, and returns the message's bytes once all have come.
    fn add(&mut self, packet: &Packet<'_>) -> Option<Vec<u8>> {
        if self.partial.len() >= SENDERS {
            self.partial.clear();
        }
        let count = usize::from(packet.count);
        let begun = self.partial.entry(packet.from.origin);
        let partial = begun.or_insert_with(|| Partial::new(packet.from.sequence, count));
        if partial.number != packet.from.sequence || partial.parts.len() != count {
            *partial = Partial::new(packet.from.sequence, count);
        }
        partial.parts[usize::from(packet.index)] = Some(packet.part.to_vec());
        if partial.parts.iter().any(Option::is_none) {
            return None;
        }
        let partial = self.partial.remove(&packet.from.origin)?;
        Some(partial.parts.into_iter().flatten().flatten().collect())
    }
}

impl Partial {
    fn new(number: u32, count: usize) -> Self {
        Self {
            number,
            parts: vec![None; count],
        }
    }
}
