//! Packets that carry the origins of streams.

use googletest::prelude::*;
use mulberryyoke_decide::stream::Origin;
use mulberryyoke_model::{PoolId, StreamId, VersionId};
use mulberryyoke_wire::stream::{Entry, decode, encode, is_marked};

/// Largest payload of an Ethernet frame, in bytes, without the headers of IP and UDP.
const MAX_BYTES: usize = 1_400;

/// An entry whose numbers take most bytes.
const fn entry(index: u64) -> Entry {
    Entry {
        stream: StreamId(u64::MAX - index),
        origin: Origin {
            pool: PoolId(u32::MAX),
            version: VersionId(u32::MAX),
        },
        left_ms: u64::MAX,
    }
}

#[gtest]
fn entries_round_trip_in_packets_that_fit_a_frame() {
    for count in [0, 1, 40, 41, 1_000] {
        let entries: Vec<Entry> = (0..count).map(entry).collect();
        let packets = encode(&entries);
        let longest = packets.iter().map(Vec::len).max();
        expect_that!(longest.unwrap_or(0), le(MAX_BYTES));
        expect_that!(packets.iter().all(|packet| is_marked(packet)), eq(true));
        let decoded = packets
            .iter()
            .flat_map(|packet| decode(packet).expect("valid"));
        expect_that!(decoded.collect::<Vec<_>>(), eq(&entries));
    }
}

#[gtest]
fn malformed_packets_are_rejected() {
    let packet = &encode(&[entry(0), entry(1)])[0];
    for length in 0..packet.len() {
        expect_that!(decode(&packet[..length]), none(), "{length}");
    }
    for bytes in [
        &b""[..],
        b"\x02",
        b"S",
        b"S\xff\xff\xff\xff\xff\xff",
        b"HTTP/1.1 400",
    ] {
        expect_that!(decode(bytes), none());
    }
}
