//! Packet format of messages.

use displaydoc::Display;
use mulberryyoke_decide::aggregate::MessageId;
use mulberryyoke_model::Incarnation;

/// Largest packet, in bytes; fits an Ethernet frame without fragmentation.
pub const MAX_BYTES: usize = 1_400;

/// Version of the message format. Packets of other versions are rejected.
const VERSION: u8 = 2;

/// Length of the packet header: version, sender's incarnation, sequence number of the message,
/// index of the packet and number of packets.
const HEADER_BYTES: usize = 1 + 8 + 4 + 1 + 1;

/// Largest payload of a packet.
const MAX_PAYLOAD_BYTES: usize = MAX_BYTES - HEADER_BYTES;

/// A decoded packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Packet<'a> {
    pub(super) id: MessageId,
    pub(super) index: u8,
    pub(super) count: u8,
    pub(super) payload: &'a [u8],
}

/// Why a packet could not be decoded.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum DecodeError {
    /// packet has an unsupported version
    Version,
    /// packet header is truncated or its index is out of range
    Header,
    /// message is truncated or malformed
    Message,
}

impl std::error::Error for DecodeError {}

impl DecodeError {
    /// Label value in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Version => "version",
            Self::Header => "head",
            Self::Message => "message",
        }
    }
}

/// Splits a message into packets; `None` if there are more than the header can count.
pub(super) fn split(id: MessageId, bytes: &[u8]) -> Option<Vec<Vec<u8>>> {
    let count = u8::try_from(bytes.len().div_ceil(MAX_PAYLOAD_BYTES).max(1)).ok()?;
    let payloads = bytes.chunks(MAX_PAYLOAD_BYTES).zip(0..count);
    let packets = payloads.map(|(payload, index)| {
        let mut packet = Vec::with_capacity(HEADER_BYTES + payload.len());
        packet.push(VERSION);
        packet.extend_from_slice(&id.origin.0.to_le_bytes());
        packet.extend_from_slice(&id.sequence.to_le_bytes());
        packet.extend_from_slice(&[index, count]);
        packet.extend_from_slice(payload);
        packet
    });
    Some(packets.collect())
}

/// Decodes a packet.
pub(super) fn decode(bytes: &[u8]) -> Result<Packet<'_>, DecodeError> {
    let (&version, rest) = bytes.split_first().ok_or(DecodeError::Header)?;
    if version != VERSION {
        return Err(DecodeError::Version);
    }
    let (origin, rest) = rest.split_first_chunk().ok_or(DecodeError::Header)?;
    let (sequence, rest) = rest.split_first_chunk().ok_or(DecodeError::Header)?;
    let (&[index, count], payload) = rest.split_first_chunk().ok_or(DecodeError::Header)?;
    if index >= count {
        return Err(DecodeError::Header);
    }
    let id = MessageId {
        origin: Incarnation(u64::from_le_bytes(*origin)),
        sequence: u32::from_le_bytes(*sequence),
    };
    Ok(Packet {
        id,
        index,
        count,
        payload,
    })
}
