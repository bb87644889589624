//! Origins of streams, as gateways tell and ask each other for them.

mod archive;

use mulberryyoke_decide::stream::Origin;
use mulberryyoke_model::StreamId;
use serde::{Deserialize, Serialize};

pub use self::archive::{KEYS, decode_value, encode_value};

/// Path at which a gateway tells the origin of a stream that it keeps.
pub const PATH: &str = "/streams/origin";

/// First byte of a packet. Differs from that of the packets of aggregated state, which use the same
/// port; gateways of earlier releases discard it.
const MARK: u8 = 0x53;

/// The same of a packet whose origins the receiver also writes to the archive.
const ARCHIVE_MARK: u8 = 0x54;

/// Maximum number of entries of a packet, which then fits an Ethernet frame.
const MAX_ENTRIES: usize = 40;

/// The origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The stream.
    pub stream: StreamId,
    /// What it began on.
    pub origin: Origin,
    /// Time for which it is to be kept, in milliseconds.
    pub left_ms: u64,
}

/// What the receiver of origins does with them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Keeps them.
    Keep,
    /// Keeps them, and writes them to the archive.
    Archive,
}

impl Purpose {
    const fn mark(self) -> u8 {
        match self {
            Self::Keep => MARK,
            Self::Archive => ARCHIVE_MARK,
        }
    }

    /// Returns the purpose of a packet; `None` if it carries no origins.
    #[must_use]
    pub fn of(packet: &[u8]) -> Option<Self> {
        let purposes = [Self::Keep, Self::Archive];
        let mark = packet.first()?;
        purposes.into_iter().find(|purpose| purpose.mark() == *mark)
    }
}

/// Whether a packet carries origins.
#[must_use]
pub fn is_marked(packet: &[u8]) -> bool {
    Purpose::of(packet).is_some()
}

/// Encodes entries as packets.
#[must_use]
pub fn encode(entries: &[Entry], purpose: Purpose) -> Vec<Vec<u8>> {
    let batches = entries.chunks(MAX_ENTRIES);
    let packets = batches.map(|batch| {
        let mut packet = vec![purpose.mark()];
        packet.extend(postcard::to_stdvec(batch).unwrap_or_default());
        packet
    });
    packets.collect()
}

/// Decodes a packet; `None` if it is malformed.
#[must_use]
pub fn decode(packet: &[u8]) -> Option<(Purpose, Vec<Entry>)> {
    let purpose = Purpose::of(packet)?;
    let entries = postcard::from_bytes(&packet[1..]).ok()?;
    Some((purpose, entries))
}
