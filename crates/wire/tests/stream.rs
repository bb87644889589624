//! Packets that carry the origins of streams.

use googletest::prelude::*;
use mulberryyoke_decide::stream::Origin;
use mulberryyoke_model::{PoolId, StreamId, VersionId};
use mulberryyoke_wire::stream::{
    Entry, Purpose, decode, decode_value, encode, encode_value, is_marked,
};

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
    let purposes = [Purpose::Keep, Purpose::Archive].into_iter();
    let counts = [0, 1, 40, 41, 1_000];
    for (purpose, count) in purposes.flat_map(|purpose| counts.map(|count| (purpose, count))) {
        let entries: Vec<Entry> = (0..count).map(entry).collect();
        let packets = encode(&entries, purpose);
        let longest = packets.iter().map(Vec::len).max();
        expect_that!(longest.unwrap_or(0), le(MAX_BYTES));
        expect_that!(packets.iter().all(|packet| is_marked(packet)), eq(true));
        let decoded = packets.iter().flat_map(|packet| {
            let (received, entries) = decode(packet).expect("valid");
            expect_that!(received, eq(purpose));
            entries
        });
        expect_that!(decoded.collect::<Vec<_>>(), eq(&entries));
    }
}

#[gtest]
fn malformed_packets_are_rejected() {
    let packet = &encode(&[entry(0), entry(1)], Purpose::Keep)[0];
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

#[gtest]
fn values_of_the_archive_round_trip_in_ten_bytes_an_entry() {
    for count in [0, 1, 512, 5_000] {
        let entries = (0..count).map(|index| Entry {
            stream: StreamId(u64::MAX - index),
            origin: Origin {
                pool: PoolId(u32::MAX),
                version: VersionId(u32::try_from(index % 3).expect("small")),
            },
            left_ms: 1_000 * (index % 120),
        });
        let entries: Vec<Entry> = entries.collect();
        let value = encode_value(&entries);
        expect_that!(value.len(), le(10 * entries.len() + 40));
        expect_that!(decode_value(&value), some(eq(&entries)));
    }
    // The time is rounded up.
    let short = Entry {
        left_ms: 1,
        ..entry(0)
    };
    let decoded = decode_value(&encode_value(&[short])).expect("valid");
    expect_that!(decoded[0].left_ms, eq(1_000));
}

#[gtest]
fn malformed_values_of_the_archive_are_rejected() {
    let value = encode_value(&[entry(0), entry(1)]);
    for length in 0..value.len() {
        expect_that!(decode_value(&value[..length]), none(), "{length}");
    }
    let longer = [&value[..], &[0]].concat();
    // One entry whose origin is not in the table.
    let unknown = [&[1, 0, 1][..], &[7; 8], &[5, 1]].concat();
    for bytes in [&longer[..], &unknown, b"2", b"\x01\xff\xff\xff\xff\xff"] {
        expect_that!(decode_value(bytes), none());
    }
}
