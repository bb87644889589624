//! Requests that crash the servers on which they run.
//!
//! Retries by the caller and the gateways must not crash one server after another, and requests
//! that ran beside such a request must not be blamed for it.

use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use tokio::time::sleep;

use crate::backend::Behavior;
use crate::caller;
use crate::crash_fleet::{Fleet, MAX_CRASHES, PROMPT, RETRY_PAUSE};
use crate::crashing_server::{
    CRASH_BODY, CRASH_NEW_VERSION_BODY, Crash, CrashingServer, Mode, RestartName, crash_count,
    crash_times_body,
};
use crate::ending::Ending;
use crate::prompt_fleet;
use crate::protocol::PANIC_HEADER;

/// Time after its start for a gateway to learn the fleet membership, without which it sends
/// nothing to cold servers.
const MEMBERSHIP_DELAY: Duration = Duration::from_millis(3_200);

/// Maximum crashes if copies arrive at several gateways at once.
const MAX_RACING_CRASHES: u32 = 4;

/// Path of each kind of request, and the behavior of the servers for other requests.
const KINDS: [(&str, Behavior); 3] = [
    ("/resumable/", Behavior::Stream),
    ("/idempotent/", Behavior::Answer),
    ("/once/", Behavior::Answer),
];

#[gtest]
#[tokio::test]
async fn a_retried_request_crashes_at_most_three_servers() {
    let kinds = KINDS.map(|(path, behavior)| {
        [RestartName::New, RestartName::Same].map(|name| (path, behavior, name))
    });
    let cases = kinds
        .as_flattened()
        .iter()
        .map(async |&(path, behavior, name)| {
            let fleet = Fleet::spawn(name, 3, behavior).await;
            for round in 0..8 {
                fleet.send(round, path, CRASH_BODY).await;
                sleep(RETRY_PAUSE).await;
            }
            expect_that!(
                crash_count(&fleet.servers),
                le(MAX_CRASHES),
                "{path} {name:?}"
            );
            let last = fleet.send(0, path, CRASH_BODY).await;
            expect_that!(last.status, eq(502), "{path} {name:?}");
            expect_that!(last.head, not(contains_substring("retry-after")));
            expect_that!(fleet.send(1, path, "good").await.status, eq(200));
        });
    join_all(cases).await;
}

// The next process of a crashed server accepted connections, and so was taken for it.
#[gtest]
#[tokio::test]
async fn a_request_crashes_at_most_three_servers_whose_successors_listen_at_once() {
    let cases = KINDS.map(async |(path, behavior)| {
        let mode = Mode {
            crash: Crash::QuickRestart,
            name: RestartName::New,
        };
        let fleet = Fleet::spawn(mode, 3, behavior).await;
        for round in 0..8 {
            fleet.send(round, path, CRASH_BODY).await;
            sleep(RETRY_PAUSE).await;
        }
        expect_that!(crash_count(&fleet.servers), le(MAX_CRASHES), "{path}");
        expect_that!(fleet.send(1, path, "good").await.status, eq(200), "{path}");
    });
    join_all(cases).await;
}

#[gtest]
#[tokio::test]
async fn a_request_that_crashes_one_version_only_crashes_at_most_three_servers() {
    let cases = KINDS.map(async |(path, behavior)| {
        let fleet = Fleet::spawn(RestartName::New, 3, behavior).await;
        for round in 0..20 {
            fleet.send(round, path, CRASH_NEW_VERSION_BODY).await;
            sleep(RETRY_PAUSE).await;
        }
        expect_that!(crash_count(&fleet.servers), le(MAX_CRASHES), "{path}");
    });
    join_all(cases).await;
}

#[gtest]
#[tokio::test]
async fn a_request_whose_answer_without_a_length_ends_at_once_crashes_at_most_three_servers() {
    let cases = ["/resumable/", "/idempotent/", "/once/"].map(async |path| {
        let fleet = prompt_fleet::Fleet::spawn(2, 8, Ending::BareHead).await;
        for _ in 0..8 {
            fleet.send(path, CRASH_BODY).await;
            sleep(RETRY_PAUSE).await;
        }
        let crashes = fleet.servers.crashes().len();
        expect_that!(crashes, le(MAX_CRASHES as usize), "{path}");
    });
    join_all(cases).await;
}

#[gtest]
#[tokio::test]
async fn concurrent_copies_at_several_gateways_crash_at_most_four_servers() {
    let cases = [2, 3].map(async |nodes| {
        let fleet = Fleet::spawn(RestartName::New, nodes, Behavior::Stream).await;
        for _ in 0..4 {
            join_all((0..nodes).map(|node| fleet.send(node, "/resumable/", CRASH_BODY))).await;
            sleep(RETRY_PAUSE).await;
        }
        expect_that!(
            crash_count(&fleet.servers),
            le(MAX_RACING_CRASHES),
            "{nodes} gateways"
        );
    });
    join_all(cases).await;
}

#[gtest]
#[tokio::test]
async fn one_copy_of_a_suspect_runs_at_a_time_until_one_succeeds() {
    let fleet = Fleet::spawn(RestartName::New, 3, Behavior::SlowStream).await;
    let body = crash_times_body(1, "a");
    let first = fleet.send(0, "/resumable/", &body);
    let copies = async {
        sleep(Duration::from_millis(300)).await;
        [
            fleet.send(1, "/resumable/", &body).await,
            fleet.send(2, "/resumable/", &body).await,
        ]
    };
    let (first, copies) = tokio::join!(first, copies);
    expect_that!(first.is_complete, eq(true));
    for copy in copies {
        expect_that!(copy.status, eq(502));
        expect_that!(copy.body, contains_substring("quarantined"));
    }
    sleep(RETRY_PAUSE).await;
    let copies = (0..3).map(|node| fleet.send(node, "/resumable/", &body));
    for copy in join_all(copies).await {
        expect_that!((copy.status, copy.is_complete), eq((200, true)));
    }
    expect_that!(crash_count(&fleet.servers), eq(1));
}

#[gtest]
#[tokio::test]
async fn suspects_after_two_crashes_run_on_separate_servers() {
    let fleet = Fleet::spawn(RestartName::New, 1, Behavior::SlowStream).await;
    let bodies = ["a", "b"].map(|name| crash_times_body(2, name));
    for body in &bodies {
        fleet.send(0, "/resumable/", body).await;
    }
    sleep(3 * RETRY_PAUSE).await;
    // Without isolation, both would be sent to the server that has cached their shared part.
    let header_lines = format!("{PROMPT}x-shared: 7\r\n");
    let calls = bodies.each_ref().map(async |body| {
        let request = caller::request_with_body("/resumable/", &header_lines, body);
        caller::send(fleet.nodes[0].callers, &request).await
    });
    for response in join_all(calls).await {
        expect_that!(response.is_complete, eq(true));
    }
    let has_shared_part = |head: &String| head.contains("x-shared");
    let servers = fleet.servers.iter();
    let ran = servers.filter(|server| server.state.heads().iter().any(has_shared_part));
    expect_that!(ran.count(), eq(2));
}

#[gtest]
#[tokio::test]
async fn concurrent_streams_continue_and_are_not_convicted() {
    let fleet = Fleet::spawn(RestartName::New, 2, Behavior::SlowStream).await;
    for round in 0..4 {
        let others = (0..24).map(async |index| {
            let body = format!("{round}-{index}");
            (body.clone(), fleet.send(index, "/resumable/", &body).await)
        });
        let bad = async {
            sleep(Duration::from_millis(200)).await;
            fleet.send(round, "/resumable/", CRASH_BODY).await
        };
        let (others, _) = tokio::join!(join_all(others), bad);
        sleep(RETRY_PAUSE).await;
        for (body, first) in others.into_iter().filter(|(_, first)| !first.is_complete) {
            let again = fleet.send(round + 1, "/resumable/", &body).await;
            expect_that!(again.status, eq(200), "{body} after {}", first.status);
        }
    }
    expect_that!(crash_count(&fleet.servers), le(MAX_CRASHES));
}

#[gtest]
#[tokio::test]
async fn killing_many_servers_at_once_convicts_no_request() {
    let fleet = Fleet::spawn(RestartName::Same, 2, Behavior::SlowStream).await;
    for _ in 0..3 {
        let running = (0..24).map(async |index: usize| {
            let body = index.to_string();
            fleet.send(index, "/resumable/", &body).await
        });
        let kill = async {
            sleep(Duration::from_millis(200)).await;
            fleet.servers[..6].iter().for_each(CrashingServer::kill);
        };
        tokio::join!(join_all(running), kill);
        sleep(3 * RETRY_PAUSE).await;
    }
    for index in 0..24 {
        let again = fleet.send(index, "/resumable/", &index.to_string()).await;
        expect_that!(again.status, eq(200), "{index}");
    }
}

#[gtest]
#[tokio::test]
async fn failures_without_a_crash_are_no_evidence() {
    let fleet = Fleet::spawn(RestartName::New, 2, Behavior::Close).await;
    for round in 0..12 {
        fleet.send(round, "/once/", "good").await;
    }
    let heads = fleet
        .servers
        .iter()
        .map(|server| server.state.heads().len());
    expect_that!(heads.sum::<usize>(), eq(12));
}

#[gtest]
#[tokio::test]
async fn a_crash_in_an_evacuated_zone_is_evidence_as_well() {
    let fleet = Fleet::spawn(RestartName::New, 1, Behavior::Hang).await;
    let request = caller::request_with_body("/once/", PROMPT, "any");
    // Servers are cold after an evacuation of their zone.
    sleep(MEMBERSHIP_DELAY).await;
    for _ in 0..MAX_CRASHES {
        let before: Vec<usize> = fleet
            .servers
            .iter()
            .map(|s| s.state.heads().len())
            .collect();
        let _caller = caller::open(fleet.nodes[0].callers, &request).await;
        sleep(RETRY_PAUSE).await;
        fleet.service.set("evacuate/a", Some("{}"));
        sleep(RETRY_PAUSE).await;
        let runs = fleet.servers.iter().zip(&before);
        let mut runs = runs.filter(|(server, before)| server.state.heads().len() > **before);
        runs.next().expect("a server runs it").0.kill();
        sleep(RETRY_PAUSE).await;
        fleet.service.set("evacuate/a", None);
        sleep(RETRY_PAUSE).await;
    }
    let last = fleet.send(0, "/once/", "any").await;
    expect_that!(last.body, contains_substring("quarantined"));
}

#[gtest]
#[tokio::test]
async fn a_panic_in_the_gateway_closes_only_the_connection_of_the_request() {
    let fleet = Fleet::spawn(RestartName::New, 1, Behavior::SlowStream).await;
    let running = fleet.send(0, "/resumable/", "good");
    let failing = async {
        sleep(Duration::from_millis(100)).await;
        let request = caller::request_with_body("/resumable/", PANIC_HEADER, "good");
        caller::send(fleet.nodes[0].callers, &request).await
    };
    let (running, failing) = tokio::join!(running, failing);
    expect_that!(failing.status, eq(0));
    expect_that!(running.is_complete, eq(true));
    // Reporting the panic can delay the gateway for seconds.
    fleet.nodes[0].wait_ready().await;
    expect_that!(fleet.send(0, "/resumable/", "good").await.status, eq(200));
}
