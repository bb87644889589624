//! The packets of a message.

use displaydoc::Display;
use mulberryyoke_decide::aggregate::MessageId;
use mulberryyoke_model::Incarnation;

/// Largest packet, in bytes: it crosses an Ethernet link in one piece.
pub const MAX_BYTES: usize = 1_400;

/// Version of the messages. Gateways of two versions do not understand each other: each
/// counts the other's packets as unreadable and goes by what its own version tells.
const VERSION: u8 = 2;

/// Bytes of a packet before its part of the message: version, sender's life, number of the
/// message, place of the part and number of parts.
const HEAD: usize = 1 + 8 + 4 + 1 + 1;

/// Bytes of a message in one packet.
const PART: usize = MAX_BYTES - HEAD;

/// One part of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Packet<'a> {
    pub(super) from: MessageId,
    pub(super) index: u8,
    pub(super) count: u8,
    pub(super) part: &'a [u8],
}

/// Why a packet is not read.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum DecodeError {
    /// packet is of another version
    Version,
    /// packet is too short or names a part that its message has not
    Header,
    /// message is not whole or has another form
    Message,
}

impl std::error::Error for DecodeError {}

impl DecodeError {
    /// Its name in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Version => "version",
            Self::Header => "head",
            Self::Message => "message",
        }
    }
}

/// Divides a message into packets; `None` if it has more parts than can be counted.
pub(super) fn split(from: MessageId, bytes: &[u8]) -> Option<Vec<Vec<u8>>> {
    let count = u8::try_from(bytes.len().div_ceil(PART).max(1)).ok()?;
    let parts = bytes.chunks(PART).zip(0..count);
    let packets = parts.map(|(part, index)| {
        let mut packet = Vec::with_capacity(HEAD + part.len());
        packet.push(VERSION);
        packet.extend_from_slice(&from.origin.0.to_le_bytes());
        packet.extend_from_slice(&from.sequence.to_le_bytes());
        packet.extend_from_slice(&[index, count]);
        packet.extend_from_slice(part);
        packet
    });
    Some(packets.collect())
}

/// Reads a packet.
pub(super) fn read(bytes: &[u8]) -> Result<Packet<'_>, DecodeError> {
    let (&version, rest) = bytes.split_first().ok_or(DecodeError::Header)?;
    if version != VERSION {
        return Err(DecodeError::Version);
    }
    let (origin, rest) = rest.split_first_chunk().ok_or(DecodeError::Header)?;
    let (number, rest) = rest.split_first_chunk().ok_or(DecodeError::Header)?;
    let (&[index, count], part) = rest.split_first_chunk().ok_or(DecodeError::Header)?;
    if index >= count {
        return Err(DecodeError::Header);
    }
    let from = MessageId {
        origin: Incarnation(u64::from_le_bytes(*origin)),
        sequence: u32::from_le_bytes(*number),
    };
    Ok(Packet {
        from,
        index,
        count,
        part,
    })
}
