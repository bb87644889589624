//! Requests that must run at most once.

use googletest::prelude::*;
use mulberryyoke_model::{KeyId, Outcome};
use mulberryyoke_wire::Verdict;
use serde_json::json;

use crate::caller::{post, send, spawn, with};
use crate::fake_sidecar::{Behavior, FakeSidecar};
use crate::fleet::{Fleet, SERVICE, customer_id, draining_server, wait_until};

fn book(key: &str) -> hyper::Request<http_body_util::Full<bytes::Bytes>> {
    with(post("/slots", "book"), "idempotency-key", key)
}

#[gtest]
#[tokio::test]
async fn a_key_is_always_sent_to_the_same_server() {
    let mut first = FakeSidecar::bind("b1", SERVICE, 4).await;
    let mut second = FakeSidecar::bind("b2", SERVICE, 4).await;
    let fleet = Fleet::spawn(&[&first, &second], &json!({})).await;
    let mut homes = [0, 0];
    for number in 0..16 {
        let key = format!("key-{number}");
        for _ in 0..3 {
            let reply = send(fleet.address(), book(&key)).await;
            assert_that!(reply.status.as_u16(), eq(200));
        }
        let counts = [first.drain_requests(), second.drain_requests()];
        expect_that!(counts, any![eq([3, 0]), eq([0, 3])], "{key}");
        homes[usize::from(counts[0] == 0)] += 1;
    }
    expect_that!(homes, each(gt(0)));
}

#[gtest]
#[tokio::test]
async fn without_an_order_keys_do_not_wait_for_slots() {
    let fake = FakeSidecar::bind("b1", SERVICE, 0).await;
    let fleet = Fleet::spawn(&[&fake], &json!({"policy": "baseline"})).await;
    let reply = send(fleet.address(), book("k")).await;
    expect_that!(reply.status.as_u16(), eq(200));
}

#[gtest]
#[tokio::test]
async fn verdicts_on_keys_become_truthful_answers() {
    let fake = FakeSidecar::bind("b1", SERVICE, 4).await;
    let fleet = Fleet::spawn(&[&fake], &json!({"limits": {"retry_percent": 0}})).await;
    let rows = [
        (Verdict::Running, 409, "key_used", "running"),
        (Verdict::Ran, 409, "key_used", "ran"),
        (Verdict::Doubtful, 503, "key_doubtful", "unknown"),
        (Verdict::Broken, 502, "outcome_unknown", "unknown"),
        (Verdict::Full, 503, "keys_full", "unknown"),
        (Verdict::NotHome, 503, "unreachable", "unknown"),
    ];
    for (verdict, status, code, outcome) in rows {
        fake.on_next_request(Behavior::Verdict(verdict));
        let reply = send(fleet.address(), book("k")).await;
        let refusal = (status, code.to_owned(), outcome);
        expect_that!(reply.refusal(), eq(&refusal), "{verdict:?}");
    }
    // A key that the router made stands for one request, so a proof counts.
    for (verdict, outcome) in [(Verdict::Full, "not-run"), (Verdict::Broken, "unknown")] {
        fake.on_next_request(Behavior::Verdict(verdict));
        let reply = send(fleet.address(), post("/slots", "book")).await;
        expect_that!(reply.refusal().2, eq(outcome), "{verdict:?}");
    }
}

#[gtest]
#[tokio::test]
async fn a_former_home_has_to_give_the_key_up_first() {
    let rows = [
        (Outcome::NotRun, false, 200, ""),
        (Outcome::NotRun, true, 503, "unknown"),
        (Outcome::Unknown, false, 503, "unknown"),
        (Outcome::Running, false, 409, "running"),
        (Outcome::Ran, false, 409, "ran"),
        (Outcome::Cut, false, 409, "cut"),
    ];
    let mut first = FakeSidecar::bind("b1", SERVICE, 4).await;
    let mut second = FakeSidecar::bind("b2", SERVICE, 4).await;
    let fleet = Fleet::spawn(&[&first, &second], &json!({})).await;
    send(fleet.address(), book("k")).await;
    let moved = first.drain_requests() == 0;
    let (former, home) = if moved {
        (&second, &mut first)
    } else {
        (&first, &mut second)
    };
    let now = std::time::SystemTime::now();
    let now = now
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_millis();
    let leaving = draining_server(&former.server, u64::try_from(now).unwrap());
    fleet.configure(leaving).await;
    let inspect = fleet.router.inspect();
    wait_until(|| inspect.servers().iter().any(|server| server.closed)).await;
    for (outcome, doubtful, status, told) in rows {
        former.set_withdrawal(outcome, doubtful);
        let reply = send(fleet.address(), book("k")).await;
        let got = (reply.status.as_u16(), reply.header("x-outcome"));
        expect_that!(got, eq((status, told)), "{outcome:?} {doubtful}");
        expect_that!(
            home.drain_requests(),
            eq(usize::from(status == 200)),
            "{outcome:?} {doubtful}"
        );
    }
    let (_, key) = former.wait_withdrawn().await;
    expect_that!(key, some(eq(KeyId::of(customer_id(), "k"))));
}

#[gtest]
#[tokio::test]
async fn a_key_waits_for_its_home_only() {
    let mut first = FakeSidecar::bind("b1", SERVICE, 0).await;
    let mut second = FakeSidecar::bind("b2", SERVICE, 0).await;
    let fleet = Fleet::spawn(&[&first, &second], &json!({})).await;
    let caller = spawn(fleet.address(), book("k"));
    let home = tokio::select! {
        () = first.wait_declared(customer_id(), [0, 1, 0]) => &mut first,
        () = second.wait_declared(customer_id(), [0, 1, 0]) => &mut second,
    };
    let waiting = fleet.router.inspect().waiting();
    expect_that!(waiting[0].server, some(eq(&home.server.name)));
    home.grant(1, customer_id());
    expect_that!(caller.await.unwrap().status.as_u16(), eq(200));
    expect_that!(home.next_request().await.ticket.grant, some(eq(1)));
}

#[gtest]
#[tokio::test]
async fn a_new_link_is_told_the_keys_sent_before() {
    let mut fake = FakeSidecar::bind("b1", SERVICE, 4).await;
    let fleet = Fleet::spawn(&[&fake], &json!({})).await;
    expect_that!(fake.recalled_keys(), is_empty());
    fake.on_next_request(Behavior::Verdict(Verdict::Full));
    send(fleet.address(), book("refused")).await;
    send(fleet.address(), book("sent")).await;
    fake.drain_requests();
    // Silent for so long that the router connects anew.
    fake.set_frozen(true);
    wait_until(|| !fake.recalled_keys().is_empty()).await;
    let sent = KeyId::of(customer_id(), "sent");
    expect_that!(fake.recalled_keys(), elements_are![eq(&sent)]);
}

#[gtest]
#[tokio::test]
async fn a_new_link_is_told_the_keys_given_up_before() {
    let former = FakeSidecar::bind("b1", SERVICE, 4).await;
    let home = FakeSidecar::bind("b2", SERVICE, 4).await;
    let fleet = Fleet::spawn(&[&former, &home], &json!({})).await;
    let now = std::time::SystemTime::now();
    let now = now.duration_since(std::time::UNIX_EPOCH).unwrap();
    let now = u64::try_from(now.as_millis()).unwrap();
    fleet.configure(draining_server(&former.server, now)).await;
    let inspect = fleet.router.inspect();
    wait_until(|| inspect.servers().iter().any(|server| server.closed)).await;
    former.set_withdrawal(Outcome::NotRun, false);
    // Half of the keys had their home there.
    for key in 0..32 {
        send(fleet.address(), book(&format!("k{key}"))).await;
    }
    let (_, key) = former.wait_withdrawn().await;
    let key = key.unwrap();
    former.set_frozen(true);
    wait_until(|| former.recalled_keys().contains(&key)).await;
}
