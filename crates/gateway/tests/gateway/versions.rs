//! Streams go on only on servers of the software version that began them.

use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use mulberryyoke_decide::aggregate::name_hash;
use mulberryyoke_decide::sample::is_sampled;
use mulberryyoke_decide::stream::Origin;
use mulberryyoke_model::{PoolId, ServerId, VersionId};
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior};
use crate::caller::{self, Response};
use crate::fleet::Node;
use crate::version_fleet::{Fleet, PROPAGATION, Peer, read_until, register, request};

/// Approximate number of servers of a pool that a gateway uses.
const SUBSET_SIZE: usize = 256;

/// Number of servers of the other version in a pool of which a gateway uses a part.
const OTHERS: usize = 600;

/// Two servers of each of two versions, whose streams pause after the second event.
const MIXED: [(Behavior, &str); 4] = [
    (Behavior::SlowStream, "1"),
    (Behavior::SlowStream, "2"),
    (Behavior::SlowStream, "1"),
    (Behavior::SlowStream, "2"),
];

#[gtest]
#[tokio::test]
async fn a_truncated_stream_resumes_only_on_its_version() {
    let servers = [(Behavior::CutStream, "1"), (Behavior::Stream, "2")];
    let mut fleet = Fleet::spawn(1, &servers).await;
    let event_count = |response: &Response| response.body.matches("id: ").count();
    for round in 0..4 {
        let id = format!("q{round}");
        let response = caller::send(fleet.nodes[0].callers, &request(&id, "")).await;
        let began_at = fleet.version_of(&id);
        let expected = if began_at == Some("1") { 2 } else { 4 };
        expect_that!(event_count(&response), eq(expected), "{id}");
        expect_that!(response.is_complete, eq(expected == 4));
    }
    expect_that!(fleet.version_of("q0"), some(eq("1")));
    let same = Backend::spawn(Behavior::Stream).await;
    register(&fleet.service, 2, &same, "1");
    fleet.servers.push((same, "1"));
    sleep(PROPAGATION).await;
    for round in 4..8 {
        let response =
            caller::send(fleet.nodes[0].callers, &request(&format!("q{round}"), "")).await;
        expect_that!(
            (event_count(&response), response.is_complete),
            eq((4, true))
        );
    }
    let resumed = fleet.servers[1].0.state.heads();
    expect_that!(
        resumed.iter().any(|head| head.contains("x-after")),
        eq(false)
    );
}

#[gtest]
#[tokio::test]
async fn a_version_that_changes_under_one_registration_is_another_version() {
    let servers = [(Behavior::HangStream, "1"), (Behavior::Stream, "1")];
    for changes in [false, true] {
        let fleet = Fleet::spawn(1, &servers).await;
        let callers = fleet.nodes[0].callers;
        let mut stream = caller::open(callers, &request("q", "")).await;
        read_until(&mut stream, "id: 2").await;
        if changes {
            register(&fleet.service, 1, &fleet.servers[1].0, "2");
        }
        let rest = caller::read_to_end(&mut stream).await;
        let is_resumed = !fleet.servers[1].0.state.heads().is_empty();
        expect_that!(is_resumed, eq(!changes), "{}", rest.head);
    }
}

#[gtest]
#[tokio::test]
async fn a_caller_resumes_at_another_gateway_on_the_first_version() {
    let mut fleet = Fleet::spawn(3, &MIXED).await;
    fleet.expect_resumes("plain", async |_| {}).await;
    fleet
        .expect_resumes("outage", async |fleet| {
            for node in &fleet.nodes {
                node.kv.set_failing(true);
            }
            sleep(PROPAGATION).await;
        })
        .await;
}

#[gtest]
#[tokio::test]
async fn a_caller_resumes_on_the_first_version_after_its_gateway_was_killed() {
    let mut fleet = Fleet::spawn(3, &MIXED).await;
    fleet
        .expect_resumes("killed", async |fleet| {
            fleet.kill_first();
        })
        .await;
}

#[gtest]
#[tokio::test]
async fn a_stream_that_began_before_a_release_resumes_on_its_version() {
    let mut fleet = Fleet::spawn(3, &[(Behavior::SlowStream, "1"); 2]).await;
    fleet
        .expect_resumes("release", async |fleet| {
            for index in 2..12 {
                let backend = Backend::spawn(Behavior::SlowStream).await;
                register(&fleet.service, index, &backend, "2");
                fleet.servers.push((backend, "2"));
            }
            sleep(PROPAGATION).await;
            fleet.kill_first();
        })
        .await;
}

#[gtest]
#[tokio::test]
async fn a_stream_that_is_resumed_twice_names_its_first_attempt() {
    let mut fleet = Fleet::spawn(3, &MIXED).await;
    let ids: Vec<String> = (0..4).map(|index| index.to_string()).collect();
    let begun = ids
        .iter()
        .map(async |id| fleet.begin(0, &format!("a{id}")).await);
    join_all(begun).await;
    fleet.kill_first();
    for id in &ids {
        let [first, next, last] = ["a", "b", "c"].map(|attempt| format!("{attempt}{id}"));
        let lines = format!("x-after: 2\r\nx-first-attempt: {first}\r\n");
        let mut stream = caller::open(fleet.nodes[1].callers, &request(&next, &lines)).await;
        read_until(&mut stream, "id: 3").await;
        drop(stream);
        let lines = format!("x-after: 3\r\nx-first-attempt: {first}\r\n");
        let response = caller::send(fleet.nodes[2].callers, &request(&last, &lines)).await;
        expect_that!(response.status, eq(200), "{}", response.body);
        let versions = [&first, &next, &last].map(|id| fleet.version_of(id));
        expect_that!(versions[0], some(anything()));
        expect_that!(versions, each(eq(versions[0])), "{id}");
    }
}

#[gtest]
#[tokio::test]
async fn streams_of_a_pool_of_one_version_are_neither_told_nor_asked_for() {
    let peer = Peer::spawn().await;
    let fleet = Fleet::spawn(1, &[(Behavior::SlowStream, "1"); 2]).await;
    fleet
        .service
        .set("mulberryyoke/gateways/peer", Some(&peer.registration()));
    sleep(PROPAGATION).await;
    fleet.begin(0, "a").await;
    fleet.resume(0, "b", Some("a")).await;
    fleet.resume(0, "c", Some("never")).await;
    expect_that!(peer.counts(), eq((0, 0)));
    register(&fleet.service, 1, &fleet.servers[1].0, "2");
    sleep(PROPAGATION).await;
    let (told, _) = peer.counts();
    expect_that!(told, ge(1), "the streams that began before");
    fleet.begin(0, "d").await;
    fleet.resume(0, "e", Some("unseen")).await;
    let (told_later, asked) = peer.counts();
    expect_that!(told_later, gt(told));
    expect_that!(asked, eq(1));
}

#[gtest]
#[tokio::test]
async fn a_stream_of_unknown_version_is_refused_while_versions_are_mixed() {
    let fleet = Fleet::spawn(2, &MIXED).await;
    for (id, first) in [("u0", Some("never")), ("u1", None)] {
        let response = fleet.resume(0, id, first).await;
        expect_that!(response.status, eq(503), "{id}");
        expect_that!(fleet.version_of(id), none(), "{id}");
    }
    let fleet = Fleet::spawn(2, &[(Behavior::Stream, "1"); 2]).await;
    for (id, first) in [("u0", Some("never")), ("u1", None)] {
        let response = fleet.resume(0, id, first).await;
        expect_that!(
            (response.status, response.is_complete),
            eq((200, true)),
            "{id}"
        );
    }
}

#[gtest]
#[tokio::test]
async fn a_gateway_that_has_just_started_knows_that_versions_are_mixed() {
    let fleet = Fleet::spawn(1, &MIXED).await;
    for round in 0..3 {
        let node = Node::spawn(&fleet.service, &format!("n{round}")).await;
        for attempt in 0..200 {
            let text = request(
                &format!("s{round}-{attempt}"),
                "x-after: 2\r\nx-first-attempt: a\r\n",
            );
            let response = caller::send(node.callers, &text).await;
            expect_that!(response.status, eq(503), "{attempt}");
            if response.body.contains("version_unknown") {
                break;
            }
        }
    }
}

#[gtest]
#[tokio::test]
async fn a_stream_whose_version_is_gone_is_refused_at_once() {
    let fleet = Fleet::spawn(2, &MIXED).await;
    fleet.begin(0, "g0").await;
    let version = fleet.version_of("g0");
    for (index, (_, other)) in fleet.servers.iter().enumerate() {
        if Some(*other) == version {
            fleet.service.set(&format!("servers/model-{index}"), None);
        }
    }
    sleep(PROPAGATION).await;
    let response = fleet.resume(1, "g1", Some("g0")).await;
    expect_that!(response.status, eq(503));
    expect_that!(fleet.version_of("g1"), none());
}

#[gtest]
#[tokio::test]
async fn an_answer_that_takes_long_is_waited_for() {
    let fleet = Fleet::spawn(1, &MIXED).await;
    let origin = Origin {
        pool: PoolId::of("model"),
        version: VersionId::of("1"),
    };
    let peer = Peer::spawn_answering(Some(origin), Duration::from_millis(250)).await;
    let registration = format!("{peer} 1000 a");
    fleet
        .service
        .set("mulberryyoke/gateways/peer", Some(&registration));
    sleep(PROPAGATION).await;
    let response = fleet.resume(0, "l1", Some("l0")).await;
    expect_that!(response.status, eq(200), "{}", response.body);
    expect_that!(fleet.version_of("l1"), some(eq("1")));
}

#[gtest]
#[tokio::test]
async fn a_stream_is_refused_for_good_only_once_all_that_may_know_it_have_answered() {
    for answers in [true, false] {
        let fleet = Fleet::spawn(1, &MIXED).await;
        let registration = if answers {
            let peer = Peer::spawn_answering(None, Duration::ZERO).await;
            format!("{peer} 1000 a")
        } else {
            Peer::spawn().await.registration()
        };
        fleet
            .service
            .set("mulberryyoke/gateways/peer", Some(&registration));
        sleep(PROPAGATION).await;
        let response = fleet.resume(0, "f1", Some("f0")).await;
        expect_that!(response.status, eq(503), "{answers}");
        let has_time = response.head.contains("retry-after: ");
        expect_that!(has_time, eq(!answers), "{}", response.body);
        expect_that!(fleet.version_of("f1"), none());
    }
}

#[gtest]
#[tokio::test]
async fn a_failure_of_a_peer_is_taken_for_an_answer_that_it_does_not_know_the_stream() {
    for (status, body) in [
        ("400 Bad Request", &b""[..]),
        ("200 OK", b""),
        ("200 OK", b"\x02"),
    ] {
        let fleet = Fleet::spawn(1, &MIXED).await;
        let peer = Peer::spawn_failing(status, body).await;
        let registration = format!("{peer} 1000 a");
        fleet
            .service
            .set("mulberryyoke/gateways/peer", Some(&registration));
        sleep(PROPAGATION).await;
        let response = fleet.resume(0, "f1", Some("f0")).await;
        expect_that!(response.status, eq(503), "{status}");
        let has_time = response.head.contains("retry-after: ");
        expect_that!(has_time, eq(true), "{status} {body:?}: {}", response.body);
    }
}

#[gtest]
#[tokio::test]
async fn a_question_does_not_outlast_its_caller() {
    let fleet = Fleet::spawn(1, &MIXED).await;
    let registration = Peer::spawn().await.registration();
    fleet
        .service
        .set("mulberryyoke/gateways/peer", Some(&registration));
    sleep(PROPAGATION).await;
    let lines = "x-after: 2\r\nx-first-attempt: d0\r\nx-patience-ms: 150\r\n";
    let start = Instant::now();
    let response = caller::send(fleet.nodes[0].callers, &request("d1", lines)).await;
    expect_that!(start.elapsed(), lt(Duration::from_millis(300)));
    expect_that!(response.status, eq(503), "{}", response.body);
    expect_that!(fleet.version_of("d1"), none());
}

#[gtest]
#[tokio::test]
async fn a_stream_goes_on_outside_the_subset_if_its_servers_there_leave() {
    let node = name_hash("g0");
    let is_used = |name: &str| {
        let server = ServerId::of(&format!("{name} "));
        is_sampled(node, server, OTHERS + 2, SUBSET_SIZE)
    };
    let names: Vec<String> = (0..100).map(|index| format!("first-{index}")).collect();
    let leaving = names.iter().find(|name| is_used(name)).expect("one");
    let open = names.iter().find(|name| !is_used(name)).expect("one");
    let fleet = Fleet::spawn(1, &[(Behavior::Stream, "1"), (Behavior::Stream, "2")]).await;
    let [first, second] = [0, 1].map(|index| fleet.servers[index].0.address);
    fleet.service.set("servers/model-0", None);
    let leaving_value = format!("model {first} leaving version=1");
    let open_value = format!("model {first} ready version=1");
    fleet
        .service
        .set(&format!("servers/{leaving}"), Some(&leaving_value));
    fleet
        .service
        .set(&format!("servers/{open}"), Some(&open_value));
    let other_value = format!("model {second} ready version=2");
    for index in 1..=OTHERS {
        fleet
            .service
            .set(&format!("servers/model-{index}"), Some(&other_value));
    }
    let origin = Origin {
        pool: PoolId::of("model"),
        version: VersionId::of("1"),
    };
    let peer = Peer::spawn_answering(Some(origin), Duration::ZERO).await;
    let registration = format!("{peer} 1000 a");
    fleet
        .service
        .set("mulberryyoke/gateways/peer", Some(&registration));
    sleep(2 * PROPAGATION).await;
    let response = fleet.resume(0, "o1", Some("o0")).await;
    expect_that!(
        response.status,
        eq(200),
        "{}{}",
        response.head,
        response.body
    );
    expect_that!(fleet.version_of("o1"), some(eq("1")));
}
