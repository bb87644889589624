//! Convictions survive restarts of gateways, and outages and restores of the key-value service.

use std::time::Duration;

use googletest::prelude::*;
use mulberryyoke_decide::aggregate::{MessageId, Sum};
use mulberryyoke_decide::quarantine::{Crash, Suspect};
use mulberryyoke_model::{Digest, Incarnation, ServerId};
use mulberryyoke_wire::aggregate::{Message, Scope};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::backend::Behavior;
use crate::crash_fleet::{Fleet, MAX_CRASHES, RETRY_PAUSE};
use crate::crashing_server::{CRASH_BODY, RestartName, crash_count};
use crate::fleet::Node;

/// Prefix of the keys of convictions.
const CONVICTIONS: &str = "mulberryyoke/quarantine/";

#[gtest]
#[tokio::test]
async fn convictions_survive_a_restart_of_all_gateways_and_can_be_lifted() {
    let mut fleet = Fleet::spawn(RestartName::New, 2, Behavior::Stream).await;
    for round in 0..3 {
        fleet.send(round, "/resumable/", CRASH_BODY).await;
        sleep(RETRY_PAUSE).await;
    }
    fleet.nodes.clear();
    fleet.nodes.push(Node::spawn(&fleet.service, "g2").await);
    fleet.nodes[0].wait_ready().await;
    sleep(RETRY_PAUSE).await;
    let before = crash_count(&fleet.servers);
    let refused = fleet.send(0, "/resumable/", CRASH_BODY).await;
    expect_that!(refused.body, contains_substring("quarantined"));
    expect_that!(
        crash_count(&fleet.servers),
        all!(eq(before), le(MAX_CRASHES))
    );
    let keys = fleet.service.keys(CONVICTIONS);
    expect_that!(keys, len(eq(1)));
    fleet.service.set(&keys[0], None);
    sleep(2 * RETRY_PAUSE).await;
    fleet.send(0, "/resumable/", CRASH_BODY).await;
    expect_that!(crash_count(&fleet.servers), gt(before));
}

#[gtest]
#[tokio::test]
async fn convictions_spread_without_the_key_value_service() {
    let fleet = Fleet::spawn(RestartName::New, 3, Behavior::Stream).await;
    for node in &fleet.nodes {
        node.kv.set_failing(true);
    }
    for round in 0..6 {
        fleet.send(round, "/resumable/", CRASH_BODY).await;
        sleep(RETRY_PAUSE).await;
    }
    expect_that!(crash_count(&fleet.servers), le(MAX_CRASHES));
}

/// Time after which gateways no longer tell each other of a crash, and convictions are written.
const SETTLED: Duration = Duration::from_secs(3);

#[gtest]
#[tokio::test]
async fn a_conviction_by_crashes_that_several_gateways_saw_is_written() {
    let fleet = Fleet::spawn(RestartName::New, 2, Behavior::Answer).await;
    let crashes = (1..=MAX_CRASHES).map(|server| Crash {
        server: ServerId(server),
        age_ms: 10,
    });
    let from = MessageId {
        origin: Incarnation(1),
        sequence: 1,
    };
    let scope = Scope::Node {
        node: 1,
        wants_fleet: false,
    };
    let mut message = Message::new(from, scope, &Sum::default(), Vec::new());
    message.suspects.push(Suspect {
        digest: Digest(7),
        crashes: crashes.collect(),
        success_age_ms: None,
    });
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    for packet in message.encode() {
        let sent = socket.send_to(&packet, fleet.nodes[0].control).await;
        sent.expect("the gateway listens");
    }
    sleep(SETTLED).await;
    expect_that!(fleet.service.keys(CONVICTIONS), len(eq(1)));
}

#[gtest]
#[tokio::test]
async fn gateways_that_start_later_know_of_earlier_crashes() {
    let mut fleet = Fleet::spawn(RestartName::New, 2, Behavior::Answer).await;
    for round in 0..6 {
        let name = format!("later{round}");
        let node = Node::spawn(&fleet.service, &name).await;
        node.wait_ready().await;
        sleep(2 * RETRY_PAUSE).await;
        fleet.nodes.push(node);
        let newest = fleet.nodes.len() - 1;
        fleet.send(newest, "/once/", CRASH_BODY).await;
        sleep(SETTLED).await;
    }
    expect_that!(crash_count(&fleet.servers), le(MAX_CRASHES));
}

/// Time for lost convictions to be rewritten: gateways notice the restore within 0.9 s and delay
/// the writes by up to 1.5 s.
const REWRITE_TIME: Duration = Duration::from_millis(3_500);

#[gtest]
#[tokio::test]
async fn a_conviction_missing_after_a_restore_is_rewritten() {
    let mut fleet = Fleet::spawn(RestartName::Same, 3, Behavior::Stream).await;
    fleet.service.back_up();
    for round in 0..3 {
        fleet.send(round, "/resumable/", CRASH_BODY).await;
        sleep(RETRY_PAUSE).await;
    }
    let before = fleet.service.keys(CONVICTIONS);
    expect_that!(before, len(eq(1)));
    fleet.service.restore();
    sleep(REWRITE_TIME).await;
    expect_that!(fleet.service.keys(CONVICTIONS), eq(&before));
    let crashes_before = crash_count(&fleet.servers);
    fleet.nodes.clear();
    fleet.nodes.push(Node::spawn(&fleet.service, "g7").await);
    fleet.nodes[0].wait_ready().await;
    sleep(RETRY_PAUSE).await;
    let refused = fleet.send(0, "/resumable/", CRASH_BODY).await;
    expect_that!(refused.body, contains_substring("quarantined"));
    expect_that!(crash_count(&fleet.servers), eq(crashes_before));
}
