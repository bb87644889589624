//! Selection of plain servers by the expected time of a request.

use googletest::prelude::*;
use mulberryyoke_decide::plain::{Candidate, Service, choose};
use mulberryyoke_model::ServerId;

/// A service whose requests take this long.
fn service(ms: f64) -> Service {
    let mut service = Service::default();
    for _ in 0..200 {
        service.record(ms, 1.0, 0, 6);
    }
    service
}

/// The server chosen of those with these requests, slots and slowdowns, in one zone.
fn chosen(servers: &[(u32, u32, f64)], service: Service) -> Option<u32> {
    let candidates = servers
        .iter()
        .zip(0..)
        .map(|(&(requests, slots, slowdown), id)| Candidate {
            server: ServerId(id),
            requests,
            slots,
            slowdown,
            is_same_zone: true,
            penalty_ms: 0.0,
        });
    choose(candidates, service).map(|server| server.0)
}

#[gtest]
fn uneven_queues_slots_and_slowdowns_are_weighed_by_the_expected_time() {
    // Three servers with 6 slots and an objective of 120 ms. At 10 ms for each request, a server
    // with 5 free slots lost to one that runs at 0.4 of its speed, and slots did not count.
    let table = [
        ("an idle server", [(5, 6, 1.0), (0, 6, 1.0)], 1),
        ("a free slot over a queue", [(6, 6, 1.0), (5, 6, 1.0)], 1),
        ("the shorter queue", [(14, 6, 1.0), (9, 6, 1.0)], 1),
        ("more slots", [(6, 6, 1.0), (8, 24, 1.0)], 1),
        (
            "a busy server over a slowed one",
            [(0, 6, 2.5), (5, 6, 1.0)],
            1,
        ),
        (
            "a slowed server over a long queue",
            [(30, 6, 1.0), (0, 6, 2.5)],
            1,
        ),
        ("no queue without slots", [(0, 0, 1.0), (0, 6, 1.0)], 0),
    ];
    for (name, servers, expected) in table {
        for ms in [30.0, 60.0, 200.0] {
            let server = chosen(&servers, service(ms));
            expect_that!(server, some(eq(expected)), "{name}, {ms} ms");
        }
    }
}

#[gtest]
fn a_short_service_time_keeps_requests_in_the_zone() {
    let candidate = |server, requests, is_same_zone| Candidate {
        server: ServerId(server),
        requests,
        slots: 6,
        slowdown: 1.0,
        is_same_zone,
        penalty_ms: 0.0,
    };
    for (ms, server) in [(5.0, 0), (100.0, 1)] {
        let candidates = [candidate(0, 2, true), candidate(1, 0, false)];
        let chosen = choose(candidates.into_iter(), service(ms));
        expect_that!(chosen, some(eq(ServerId(server))), "{ms}");
    }
}

#[gtest]
fn the_service_time_is_learned_without_waits_slowdowns_and_stalls() {
    let mut service = Service::default();
    for index in 0..300 {
        // A queue of one round of slots, a slowed machine, and a free server.
        match index % 3 {
            0 => service.record(80.0, 1.0, 11, 6),
            1 => service.record(100.0, 2.5, 2, 6),
            _ => service.record(40.0, 1.0, 2, 6),
        }
    }
    expect_that!(service.mean_ms(), near(40.0, 2.0));
    service.record(30_000.0, 1.0, 0, 6);
    expect_that!(service.mean_ms(), le(47.0));
}
