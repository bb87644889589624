//! Messages between gateways and their packets.

use googletest::prelude::*;
use mulberryyoke_decide::aggregate::{MessageId, State, Sum};
use mulberryyoke_decide::engine::{Load, Part};
use mulberryyoke_decide::quarantine::{Crash, Suspect};
use mulberryyoke_decide::share::Flow;
use mulberryyoke_model::{CustomerId, Digest, Incarnation, ServerId};
use mulberryyoke_wire::aggregate::{
    Assembler, DecodeError, Leaving, MAX_BYTES, Message, Prefill, Scope,
};

/// Bytes of a packet before its part of the message.
const HEAD: usize = 15;

/// A message of a fleet with so many servers and customers, and with reads.
fn message(number: u32, servers: u32, customers: u32, reads: u32) -> Message {
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
    let from = |origin, number| MessageId {
        origin: Incarnation(u64::MAX - origin),
        sequence: number,
    };
    let sum = Sum {
        gateways: 103,
        members: (0..21).map(|index| from(index, 70_000)).collect(),
        state: State {
            loads: loads.collect(),
            flows: flows.collect(),
        },
    };
    let part = |key| Part {
        key: u64::MAX - key,
        tokens: 5_000,
    };
    let reads = (0..reads).map(|id| Prefill {
        server: ServerId(id),
        shared: vec![part(u64::from(id)), part(u64::from(id) + 1)],
    });
    Message::new(from(0, number), Scope::Fleet, &sum, reads.collect())
}

fn sorted(mut message: Message) -> Message {
    message.servers.sort_by_key(|server| server.id);
    message.customers.sort_by_key(|customer| customer.id);
    message
}

#[gtest]
fn a_message_of_any_size_comes_in_packets_and_comes_back_whole() {
    // Of 180 servers and 60 customers nothing was told in one packet but servers, and they
    // were not read as they exceeded two.
    for (servers, customers, reads) in [
        (0, 0, 0),
        (12, 16, 4),
        (180, 60, 0),
        (180, 60, 400),
        (2_000, 600, 0),
    ] {
        let mut told = message(1, servers, customers, reads);
        let packets = told.encode();
        let mut assembler = Assembler::default();
        let mut heard = None;
        for packet in &packets {
            expect_that!(packet.len(), le(MAX_BYTES));
            expect_that!(heard.is_none(), eq(true));
            heard = assembler.receive(packet).expect("the packet can be read");
        }
        expect_that!(heard.map(sorted) == Some(sorted(told)), eq(true));
    }
}

#[gtest]
fn packets_may_come_in_any_order_and_more_than_once() {
    let mut told = message(1, 180, 60, 0);
    let packets = told.encode();
    let mut assembler = Assembler::default();
    for packet in packets.iter().skip(1).rev() {
        expect_that!(assembler.receive(packet), ok(none()));
        expect_that!(assembler.receive(packet), ok(none()));
    }
    expect_that!(assembler.receive(&packets[0]), ok(some(anything())));
}

#[gtest]
fn a_message_that_lost_a_packet_is_made_up_for_by_the_next() {
    let mut assembler = Assembler::default();
    for packet in message(1, 180, 60, 0).encode().iter().skip(1) {
        expect_that!(assembler.receive(packet), ok(none()));
    }
    let mut heard = Vec::new();
    for packet in message(2, 180, 60, 0).encode() {
        heard.extend(assembler.receive(&packet).expect("the packet can be read"));
    }
    expect_that!(heard.len(), eq(1));
    expect_that!(heard[0].sequence, eq(2));
}

#[gtest]
fn more_reads_than_a_message_can_have_are_left_out_first() {
    let mut told = message(1, 180, 60, 40_000);
    let packets = told.encode();
    expect_that!(packets.len(), le(255));
    expect_that!(told.servers.len(), eq(180));
    expect_that!(told.customers.len(), eq(60));
}

#[gtest]
fn what_is_no_packet_is_refused() {
    let whole = message(1, 3, 3, 0).encode().remove(0);
    let mut other = whole.clone();
    other[0] = 1;
    let mut index = whole.clone();
    index[13] = 7;
    let cases = [
        (Vec::new(), DecodeError::Header),
        (other, DecodeError::Version),
        (whole[..10].to_vec(), DecodeError::Header),
        (index, DecodeError::Header),
        (whole[..40].to_vec(), DecodeError::Message),
    ];
    let mut assembler = Assembler::default();
    for (packet, why) in cases {
        expect_that!(assembler.receive(&packet), err(eq(&why)));
    }
}

#[gtest]
fn cut_or_changed_packets_never_panic() {
    let packets = message(1, 180, 60, 9).encode();
    let mut assembler = Assembler::default();
    for packet in &packets {
        for position in 0..packet.len() {
            let mut changed = packet.clone();
            changed[position] ^= 0x5a;
            // What comes of it is of no interest, but that it is told.
            let _ = assembler.receive(&changed);
            let _ = assembler.receive(&packet[..position]);
        }
    }
    let whole: Vec<Message> = message(2, 12, 16, 0)
        .encode()
        .iter()
        .filter_map(|packet| assembler.receive(packet).ok().flatten())
        .collect();
    expect_that!(whole.len(), eq(1));
}

/// Requests under suspicion, as many as a message tells.
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
fn requests_under_suspicion_come_back_and_change_nothing_of_the_rest() {
    let mut plain = message(7, 12, 16, 4);
    let mut told = plain.clone();
    told.suspects = suspects(64);
    let bare = plain.encode();
    let packets = told.encode();
    // A release that does not know them reads the message up to there.
    let length = bare[0].len();
    expect_that!(bare, len(eq(1)));
    expect_that!(packets[0][HEAD..length] == bare[0][HEAD..], eq(true));
    let bytes: usize = packets.iter().map(Vec::len).sum();
    expect_that!(bytes - length, le(3_000), "bytes of 64 requests");
    let mut assembler = Assembler::default();
    let read = packets
        .iter()
        .filter_map(|packet| assembler.receive(packet).expect("readable"));
    expect_that!(
        sorted(read.last().expect("whole")).suspects,
        eq(&suspects(64))
    );
}

#[gtest]
fn servers_that_leave_follow_whatever_else_is_told_and_change_nothing_of_it() {
    for count in [0, 2] {
        let mut before = message(7, 12, 16, 4);
        before.suspects = suspects(count);
        let mut told = before.clone();
        let leaving = |index| Leaving {
            server: ServerId(u32::MAX - index),
            age_ms: 60_000,
        };
        told.leaving = (0..64).map(leaving).collect();
        let (bare, packets) = (before.encode(), told.encode());
        let length = bare[0].len();
        // A release that does not know them reads the message up to there.
        expect_that!(packets[0][HEAD..length] == bare[0][HEAD..], eq(true));
        let bytes: usize = packets.iter().map(Vec::len).sum();
        expect_that!(bytes - length, le(700), "bytes of 64 servers");
        let mut assembler = Assembler::default();
        let read = packets
            .iter()
            .filter_map(|packet| assembler.receive(packet).expect("readable"));
        let read = sorted(read.last().expect("whole"));
        expect_that!(read.leaving, eq(&told.leaving));
        expect_that!(read.suspects, eq(&told.suspects));
    }
}
