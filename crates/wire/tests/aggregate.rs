//! Encoding and reassembly of messages between gateways.

use googletest::prelude::*;
use mulberryyoke_decide::aggregate::{MessageId, State, Sum};
use mulberryyoke_decide::engine::{Load, Part, PartId};
use mulberryyoke_decide::quarantine::parts::{Report, Subject};
use mulberryyoke_decide::quarantine::{Crash, Suspect};
use mulberryyoke_decide::share::Flow;
use mulberryyoke_model::{CustomerId, Digest, Incarnation, PoolId, ServerId, VersionId};
use mulberryyoke_wire::aggregate::{
    Assembler, DecodeError, Figure, Leaving, MAX_BYTES, Message, Prefill, Scope, Sighting, Speed,
};

/// Length of the packet header.
const HEADER_BYTES: usize = 15;

/// A message of fleet scope with the given numbers of servers, customers and prefills.
fn message(sequence: u32, servers: u32, customers: u32, prefills: u32) -> Message {
    let load = Load {
        prefill_tokens: 123_456,
        queued: 3,
        running: 16,
    };
    let flow = Flow {
        requested: 3_000_000.0,
        granted: 1_000_000.0,
    };
    let loads = (0..servers).map(|id| (ServerId(u32::MAX - id), load));
    let flows = (0..customers).map(|id| (CustomerId(u32::MAX - id), flow));
    let id = |origin, sequence| MessageId {
        origin: Incarnation(u64::MAX - origin),
        sequence,
    };
    let sum = Sum {
        gateways: 103,
        members: (0..21).map(|index| id(index, 70_000)).collect(),
        state: State {
            loads: loads.collect(),
            flows: flows.collect(),
        },
    };
    let part = |key| Part {
        key: u64::MAX - key,
        tokens: 5_000,
    };
    let prefills = (0..prefills).map(|server| Prefill {
        server: ServerId(server),
        shared: vec![part(u64::from(server)), part(u64::from(server) + 1)],
    });
    Message::new(id(0, sequence), Scope::Fleet, &sum, prefills.collect())
}

fn sorted(mut message: Message) -> Message {
    message.servers.sort_by_key(|server| server.id);
    message.customers.sort_by_key(|customer| customer.id);
    message
}

#[gtest]
fn messages_of_any_size_round_trip() {
    // Guards against a message of 180 servers and 60 customers losing its customers or being
    // rejected because it needs more than one packet.
    for (servers, customers, prefills) in [
        (0, 0, 0),
        (12, 16, 4),
        (180, 60, 0),
        (180, 60, 400),
        (2_000, 600, 0),
    ] {
        let mut sent = message(1, servers, customers, prefills);
        let packets = sent.encode();
        let mut assembler = Assembler::default();
        let mut received = None;
        for packet in &packets {
            expect_that!(packet.len(), le(MAX_BYTES));
            expect_that!(received.is_none(), eq(true));
            received = assembler.receive(packet).expect("the packet is valid");
        }
        expect_that!(received.map(sorted) == Some(sorted(sent)), eq(true));
    }
}

#[gtest]
fn packets_may_arrive_reordered_and_duplicated() {
    let mut sent = message(1, 180, 60, 0);
    let packets = sent.encode();
    let mut assembler = Assembler::default();
    for packet in packets.iter().skip(1).rev() {
        expect_that!(assembler.receive(packet), ok(none()));
        expect_that!(assembler.receive(packet), ok(none()));
    }
    expect_that!(assembler.receive(&packets[0]), ok(some(anything())));
}

#[gtest]
fn a_message_that_lost_a_packet_is_superseded_by_the_next() {
    let mut assembler = Assembler::default();
    for packet in message(1, 180, 60, 0).encode().iter().skip(1) {
        expect_that!(assembler.receive(packet), ok(none()));
    }
    let mut received = Vec::new();
    for packet in message(2, 180, 60, 0).encode() {
        received.extend(assembler.receive(&packet).expect("the packet is valid"));
    }
    expect_that!(received.len(), eq(1));
    expect_that!(received[0].sequence, eq(2));
}

#[gtest]
fn excess_prefills_are_dropped_first() {
    let mut sent = message(1, 180, 60, 40_000);
    let packets = sent.encode();
    expect_that!(packets.len(), le(255));
    expect_that!(sent.servers.len(), eq(180));
    expect_that!(sent.customers.len(), eq(60));
}

#[gtest]
fn invalid_packets_are_rejected() {
    let valid = message(1, 3, 3, 0).encode().remove(0);
    let mut version = valid.clone();
    version[0] = 1;
    let mut index = valid.clone();
    index[13] = 7;
    let cases = [
        (Vec::new(), DecodeError::Header),
        (version, DecodeError::Version),
        (valid[..10].to_vec(), DecodeError::Header),
        (index, DecodeError::Header),
        (valid[..40].to_vec(), DecodeError::Message),
    ];
    let mut assembler = Assembler::default();
    for (packet, error) in cases {
        expect_that!(assembler.receive(&packet), err(eq(&error)));
    }
}

#[gtest]
fn truncated_or_corrupted_packets_never_panic() {
    let packets = message(1, 180, 60, 9).encode();
    let mut assembler = Assembler::default();
    for packet in &packets {
        for position in 0..packet.len() {
            let mut corrupted = packet.clone();
            corrupted[position] ^= 0x5a;
            // Only the absence of a panic matters.
            let _ = assembler.receive(&corrupted);
            let _ = assembler.receive(&packet[..position]);
        }
    }
    let messages: Vec<Message> = message(2, 12, 16, 0)
        .encode()
        .iter()
        .filter_map(|packet| assembler.receive(packet).ok().flatten())
        .collect();
    expect_that!(messages.len(), eq(1));
}

/// The given number of suspected requests, with three crashes each.
fn suspects(count: u32) -> Vec<Suspect> {
    let crash = |server| Crash {
        server: ServerId(u32::MAX - server),
        age_ms: 1_500,
    };
    let suspects = (0..count).map(|index| Suspect {
        digest: Digest(u128::MAX - u128::from(index)),
        crashes: (0..3).map(crash).collect(),
        success_age_ms: Some(40),
    });
    suspects.collect()
}

#[gtest]
fn suspects_round_trip_after_an_unchanged_message() {
    let mut plain = message(7, 12, 16, 4);
    let mut sent = plain.clone();
    sent.suspects = suspects(64);
    let prefix = plain.encode();
    let packets = sent.encode();
    // Older releases decode only this prefix.
    let length = prefix[0].len();
    expect_that!(prefix, len(eq(1)));
    expect_that!(
        packets[0][HEADER_BYTES..length] == prefix[0][HEADER_BYTES..],
        eq(true)
    );
    let bytes: usize = packets.iter().map(Vec::len).sum();
    expect_that!(bytes - length, le(3_000), "bytes of 64 requests");
    let mut assembler = Assembler::default();
    let received = packets
        .iter()
        .filter_map(|packet| assembler.receive(packet).expect("the packet is valid"));
    expect_that!(
        sorted(received.last().expect("the message is complete")).suspects,
        eq(&suspects(64))
    );
}

#[gtest]
fn leaving_servers_round_trip_after_an_unchanged_message() {
    for count in [0, 2] {
        let mut plain = message(7, 12, 16, 4);
        plain.suspects = suspects(count);
        let mut sent = plain.clone();
        let leaving = |index| Leaving {
            server: ServerId(u32::MAX - index),
            age_ms: 60_000,
        };
        sent.leaving = (0..64).map(leaving).collect();
        let (prefix, packets) = (plain.encode(), sent.encode());
        let length = prefix[0].len();
        // Older releases decode only this prefix.
        expect_that!(
            packets[0][HEADER_BYTES..length] == prefix[0][HEADER_BYTES..],
            eq(true)
        );
        let bytes: usize = packets.iter().map(Vec::len).sum();
        expect_that!(bytes - length, le(700), "bytes of 64 servers");
        let mut assembler = Assembler::default();
        let received = packets
            .iter()
            .filter_map(|packet| assembler.receive(packet).expect("the packet is valid"));
        let received = sorted(received.last().expect("the message is complete"));
        expect_that!(received.leaving, eq(&sent.leaving));
        expect_that!(received.suspects, eq(&sent.suspects));
    }
}

/// What a gateway tells of a server whose learned speed and report differ from the usual.
fn speed(index: u32) -> Speed {
    let figure = |percent| Figure {
        percent,
        age_ms: 30_000,
    };
    Speed {
        server: ServerId(u32::MAX - index),
        learned: Some(figure(55)),
        slowdown: Some(figure(250)),
    }
}

#[gtest]
fn speeds_round_trip_after_an_unchanged_message() {
    let leaving = Leaving {
        server: ServerId(7),
        age_ms: 3,
    };
    for (suspect_count, leaving) in [(0, vec![]), (2, vec![]), (0, vec![leaving])] {
        let mut plain = message(7, 12, 16, 4);
        plain.suspects = suspects(suspect_count);
        plain.leaving = leaving;
        let mut sent = plain.clone();
        sent.speeds = (0..64).map(speed).collect();
        let (prefix, packets) = (plain.encode(), sent.encode());
        // Releases before this field decode only this prefix. Empty fields precede it explicitly.
        let length = prefix[0].len();
        expect_that!(
            packets[0][HEADER_BYTES..length] == prefix[0][HEADER_BYTES..],
            eq(true)
        );
        let bytes: usize = packets.iter().map(Vec::len).sum();
        expect_that!(bytes - length, le(1_150), "bytes of 64 servers");
        let mut assembler = Assembler::default();
        let received = packets
            .iter()
            .filter_map(|packet| assembler.receive(packet).expect("the packet is valid"));
        let received = sorted(received.last().expect("the message is complete"));
        expect_that!(received.speeds, eq(&sent.speeds));
        expect_that!(received.leaving, eq(&sent.leaving));
        expect_that!(received.suspects, eq(&sent.suspects));
    }
}

#[gtest]
fn a_message_of_an_older_release_has_no_speeds() {
    // Encoded without the field, as releases before it do; the message must not grow either.
    let mut sent = message(7, 12, 16, 4);
    let length = sent.encode()[0].len();
    sent.speeds = Vec::new();
    let packets = sent.encode();
    expect_that!(packets[0].len(), eq(length));
    let received = Assembler::default().receive(&packets[0]);
    let received = received.expect("the packet is valid").expect("one packet");
    expect_that!(received.speeds, is_empty());
}

#[gtest]
fn versions_round_trip_after_an_unchanged_message() {
    for speed_count in [0, 3] {
        let mut plain = message(7, 12, 16, 4);
        plain.speeds = (0..speed_count).map(speed).collect();
        let mut sent = plain.clone();
        sent.versions = (0..2)
            .map(|version| Sighting {
                pool: PoolId(9),
                version: VersionId(version),
                age_ms: 250,
            })
            .collect();
        let (prefix, packets) = (plain.encode(), sent.encode());
        // Releases before this field decode only this prefix.
        let length = prefix[0].len();
        expect_that!(
            packets[0][HEADER_BYTES..length] == prefix[0][HEADER_BYTES..],
            eq(true)
        );
        let received = Assembler::default().receive(&packets[0]);
        let received = received.expect("the packet is valid").expect("one packet");
        expect_that!(received.versions, eq(&sent.versions));
        expect_that!(received.speeds, eq(&sent.speeds));
    }
}

/// What a gateway tells of a prompt part with one crash.
fn part(id: u64) -> Report {
    Report {
        subject: Subject {
            part: PartId::new("model", id),
            version: VersionId(u32::MAX),
        },
        crashes: vec![Crash {
            server: ServerId(u32::MAX),
            age_ms: 1_500,
        }],
        run_age_ms: Some(40),
    }
}

#[gtest]
fn prompt_parts_round_trip_after_an_unchanged_message() {
    for version_count in [0, 2] {
        let mut plain = message(7, 12, 16, 4);
        let sighting = |version| Sighting {
            pool: PoolId(9),
            version: VersionId(version),
            age_ms: 250,
        };
        plain.versions = (0..version_count).map(sighting).collect();
        let mut sent = plain.clone();
        sent.parts = (0..96).map(part).collect();
        let (prefix, packets) = (plain.encode(), sent.encode());
        // Releases before this field decode only this prefix.
        let length = prefix[0].len();
        expect_that!(
            packets[0][HEADER_BYTES..length] == prefix[0][HEADER_BYTES..],
            eq(true)
        );
        let bytes: usize = packets.iter().map(Vec::len).sum();
        expect_that!(bytes - length, le(3_000), "bytes of 96 parts");
        let mut assembler = Assembler::default();
        let received = packets
            .iter()
            .filter_map(|packet| assembler.receive(packet).expect("the packet is valid"));
        let received = sorted(received.last().expect("the message is complete"));
        expect_that!(received.parts, eq(&sent.parts));
        expect_that!(received.versions, eq(&sent.versions));
    }
}
