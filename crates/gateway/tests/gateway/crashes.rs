//! Requests that end the servers which run them.
//!
//! One customer's request ended each model server that began to run it, within a tenth of a
//! second, and its caller sent it again and again. Each call tried it on a second server as
//! soon as the first broke off, and forgot with its end what had happened, so that the next
//! call, at the same gateway or another, tried it on two more: 21 servers of a pool of twelve
//! ended under one request, again and again with the streams of everybody else there. What
//! settled it were two lines of one request and the refusals after them, on all gateways:
//!
//! ```text
//! "event":2007,"what":"stream broke off","error":"resuming","server":"i-3fdeca0c65"   95 ms after 1001, attempt 0
//! "event":2007,"what":"stream broke off","error":"","server":"i-0665151f79"          125 ms after 1001, attempt 1
//! "event":2007,"what":"could not connect","error":"Connection refused","server":"i-3fdeca0c65"
//! ```

use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use tokio::time::sleep;

use crate::backend::Behavior;
use crate::caller;
use crate::crash_fleet::{Fleet, MAX_CRASHES, PROMPT, RETRY_PAUSE};
use crate::crashing_server::{
    CRASH_BODY, CrashingServer, RestartName, crash_count, crash_times_body,
};
use crate::protocol::PANIC_HEADER;

/// Time after its start in which a gateway knows too little of the fleet for cold servers.
const KNOWN: Duration = Duration::from_millis(3_200);

/// Most where copies of it arrive at several gateways at once.
const MAX_RACING_CRASHES: u32 = 4;

/// The path of a kind of request, and how its servers answer others.
const KINDS: [(&str, Behavior); 3] = [
    ("/resumable/", Behavior::Stream),
    ("/idempotent/", Behavior::Answer),
    ("/once/", Behavior::Answer),
];

#[gtest]
#[tokio::test]
async fn a_request_that_comes_again_ends_three_servers_at_most() {
    let kinds = KINDS
        .map(|(path, way)| [RestartName::New, RestartName::Same].map(|name| (path, way, name)));
    let cases = kinds.as_flattened().iter().map(async |&(path, way, name)| {
        let fleet = Fleet::spawn(name, 3, way).await;
        for round in 0..8 {
            fleet.ask(round, path, CRASH_BODY).await;
            sleep(RETRY_PAUSE).await;
        }
        expect_that!(
            crash_count(&fleet.servers),
            le(MAX_CRASHES),
            "{path} {name:?}"
        );
        let last = fleet.ask(0, path, CRASH_BODY).await;
        expect_that!(last.status, eq(502), "{path} {name:?}");
        expect_that!(last.head, not(contains_substring("retry-after")));
        expect_that!(fleet.ask(1, path, "good").await.status, eq(200));
    });
    join_all(cases).await;
}

#[gtest]
#[tokio::test]
async fn copies_that_race_at_several_gateways_end_four_servers_at_most() {
    let cases = [2, 3].map(async |nodes| {
        let fleet = Fleet::spawn(RestartName::New, nodes, Behavior::Stream).await;
        for _ in 0..4 {
            join_all((0..nodes).map(|node| fleet.ask(node, "/resumable/", CRASH_BODY))).await;
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
async fn one_copy_runs_under_suspicion_and_all_again_once_it_has_ended_well() {
    let fleet = Fleet::spawn(RestartName::New, 3, Behavior::SlowStream).await;
    let body = crash_times_body(1, "a");
    let first = fleet.ask(0, "/resumable/", &body);
    let copies = async {
        sleep(Duration::from_millis(300)).await;
        [
            fleet.ask(1, "/resumable/", &body).await,
            fleet.ask(2, "/resumable/", &body).await,
        ]
    };
    let (first, copies) = tokio::join!(first, copies);
    expect_that!(first.is_complete, eq(true));
    for copy in copies {
        expect_that!(copy.status, eq(502));
        expect_that!(copy.body, contains_substring("quarantined"));
    }
    sleep(RETRY_PAUSE).await;
    let copies = (0..3).map(|node| fleet.ask(node, "/resumable/", &body));
    for copy in join_all(copies).await {
        expect_that!((copy.status, copy.is_complete), eq((200, true)));
    }
    expect_that!(crash_count(&fleet.servers), eq(1));
}

#[gtest]
#[tokio::test]
async fn requests_that_two_servers_ended_under_run_at_servers_of_their_own() {
    let fleet = Fleet::spawn(RestartName::New, 1, Behavior::SlowStream).await;
    let bodies = ["a", "b"].map(|name| crash_times_body(2, name));
    for body in &bodies {
        fleet.ask(0, "/resumable/", body).await;
    }
    sleep(3 * RETRY_PAUSE).await;
    // What they share is kept by one server, which either would be sent to.
    let fields = format!("{PROMPT}x-shared: 7\r\n");
    let asked = bodies.each_ref().map(async |body| {
        let request = caller::request_with_body("/resumable/", &fields, body);
        caller::send(fleet.nodes[0].callers, &request).await
    });
    for reply in join_all(asked).await {
        expect_that!(reply.is_complete, eq(true));
    }
    let shares = |head: &String| head.contains("x-shared");
    let servers = fleet.servers.iter();
    let ran = servers.filter(|server| server.state.heads().iter().any(shares));
    expect_that!(ran.count(), eq(2));
}

#[gtest]
#[tokio::test]
async fn streams_beside_it_go_on_and_are_not_held_to_have_done_it() {
    let fleet = Fleet::spawn(RestartName::New, 2, Behavior::SlowStream).await;
    for round in 0..4 {
        let beside = (0..24).map(async |index| {
            let body = format!("{round}-{index}");
            (body.clone(), fleet.ask(index, "/resumable/", &body).await)
        });
        let bad = async {
            sleep(Duration::from_millis(200)).await;
            fleet.ask(round, "/resumable/", CRASH_BODY).await
        };
        let (beside, _) = tokio::join!(join_all(beside), bad);
        sleep(RETRY_PAUSE).await;
        for (body, first) in beside.into_iter().filter(|(_, first)| !first.is_complete) {
            let again = fleet.ask(round + 1, "/resumable/", &body).await;
            expect_that!(again.status, eq(200), "{body} after {}", first.status);
        }
    }
    expect_that!(crash_count(&fleet.servers), le(MAX_CRASHES));
}

#[gtest]
#[tokio::test]
async fn a_kill_of_many_servers_at_once_convicts_nobody() {
    let fleet = Fleet::spawn(RestartName::Same, 2, Behavior::SlowStream).await;
    for _ in 0..3 {
        let running = (0..24).map(async |index: usize| {
            let body = index.to_string();
            fleet.ask(index, "/resumable/", &body).await
        });
        let kill = async {
            sleep(Duration::from_millis(200)).await;
            fleet.servers[..6].iter().for_each(CrashingServer::kill);
        };
        tokio::join!(join_all(running), kill);
        sleep(3 * RETRY_PAUSE).await;
    }
    for index in 0..24 {
        let again = fleet.ask(index, "/resumable/", &index.to_string()).await;
        expect_that!(again.status, eq(200), "{index}");
    }
}

#[gtest]
#[tokio::test]
async fn a_server_that_lives_on_is_no_evidence() {
    let fleet = Fleet::spawn(RestartName::New, 2, Behavior::Close).await;
    for round in 0..12 {
        fleet.ask(round, "/once/", "good").await;
    }
    let heads = fleet
        .servers
        .iter()
        .map(|server| server.state.heads().len());
    expect_that!(heads.sum::<usize>(), eq(12));
}

#[gtest]
#[tokio::test]
async fn a_server_that_ends_in_an_evacuated_zone_is_evidence_as_well() {
    let fleet = Fleet::spawn(RestartName::New, 1, Behavior::Hang).await;
    let request = caller::request_with_body("/once/", PROMPT, "any");
    // Servers of a zone that was evacuated are cold, and it has to know the fleet for those.
    sleep(KNOWN).await;
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
    let last = fleet.ask(0, "/once/", "any").await;
    expect_that!(last.body, contains_substring("quarantined"));
}

#[gtest]
#[tokio::test]
async fn a_request_at_which_the_gateway_itself_fails_ends_its_own_connection_alone() {
    let fleet = Fleet::spawn(RestartName::New, 1, Behavior::SlowStream).await;
    let running = fleet.ask(0, "/resumable/", "good");
    let failing = async {
        sleep(Duration::from_millis(100)).await;
        let request = caller::request_with_body("/resumable/", PANIC_HEADER, "good");
        caller::send(fleet.nodes[0].callers, &request).await
    };
    let (running, failing) = tokio::join!(running, failing);
    expect_that!(failing.status, eq(0));
    expect_that!(running.is_complete, eq(true));
    // Writing a panic down can take so long that callers are kept away for seconds.
    fleet.nodes[0].wait_ready().await;
    expect_that!(fleet.ask(0, "/resumable/", "good").await.status, eq(200));
}
