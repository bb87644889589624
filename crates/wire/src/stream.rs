//! Origins of streams, as gateways tell and ask each other for them.

use mulberryyoke_decide::stream::Origin;
use mulberryyoke_model::StreamId;
use serde::{Deserialize, Serialize};

/// Path at which a gateway tells the origin of a stream that it keeps.
pub const PATH: &str = "/streams/origin";

/// First byte of a packet. Differs from that of the packets of aggregated state, which use the same
/// port; gateways of earlier releases discard it.
const MARK: u8 = 0x53;

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

/// Whether a packet carries origins.
#[must_use]
pub fn is_marked(packet: &[u8]) -> bool {
    packet.first() == Some(&MARK)
}

/// Encodes entries as packets.
#[must_use]
pub fn encode(entries: &[Entry]) -> Vec<Vec<u8>> {
    let batches = entries.chunks(MAX_ENTRIES);
    let packets = batches.map(|batch| {
        let mut packet = vec![MARK];
        packet.extend(postcard::to_stdvec(batch).unwrap_or_default());
        packet
    });
    packets.collect()
}

/// Decodes a packet; `None` if it is malformed.
#[must_use]
pub fn decode(packet: &[u8]) -> Option<Vec<Entry>> {
    let entries = packet.strip_prefix(&[MARK])?;
    postcard::from_bytes(entries).ok()
}
