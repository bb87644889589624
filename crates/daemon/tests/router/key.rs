//! Requests that must run at most once.

use googletest::prelude::*;
use mulberryyoke_model::{KeyId, Outcome};
use mulberryyoke_wire::Verdict;
use serde_json::json;

use crate::caller::{post, send, spawn, with_header};
use crate::fake::{Act, Fake};
use crate::fleet::{Fleet, SERVICE, customer, draining, eventually};

fn book(key: &str) -> hyper::Request<http_body_util::Full<bytes::Bytes>> {
    with_header(post("/slots", "book"), "idempotency-key", key)
}

#[gtest]
#[tokio::test]
async fn a_key_is_always_sent_to_the_same_server() {
    let mut first = Fake::bind("b1", SERVICE, 4).await;
    let mut second = Fake::bind("b2", SERVICE, 4).await;
    let fleet = Fleet::spawn(&[&first, &second], &json!({})).await;
    let mut homes = [0, 0];
    for number in 0..16 {
        let key = format!("key-{number}");
        for _ in 0..3 {
            let reply = send(fleet.address(), book(&key)).await;
            assert_that!(reply.status.as_u16(), eq(200));
        }
        let counts = [first.unread(), second.unread()];
        expect_that!(counts, any![eq([3, 0]), eq([0, 3])], "{key}");
        homes[usize::from(counts[0] == 0)] += 1;
    }
    expect_that!(homes, each(gt(0)));
}

#[gtest]
#[tokio::test]
async fn without_an_order_keys_do_not_wait_for_slots() {
    let fake = Fake::bind("b1", SERVICE, 0).await;
    let fleet = Fleet::spawn(&[&fake], &json!({"policy": "baseline"})).await;
    let reply = send(fleet.address(), book("k")).await;
    expect_that!(reply.status.as_u16(), eq(200));
}

#[gtest]
#[tokio::test]
async fn verdicts_on_keys_become_truthful_answers() {
    let fake = Fake::bind("b1", SERVICE, 4).await;
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
        fake.then(Act::Verdict(verdict));
        let reply = send(fleet.address(), book("k")).await;
        let refusal = (status, code.to_owned(), outcome);
        expect_that!(reply.refusal(), eq(&refusal), "{verdict:?}");
    }
    // A key that the router made stands for one request, so a proof counts.
    for (verdict, outcome) in [(Verdict::Full, "not-run"), (Verdict::Broken, "unknown")] {
        fake.then(Act::Verdict(verdict));
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
    let mut first = Fake::bind("b1", SERVICE, 4).await;
    let mut second = Fake::bind("b2", SERVICE, 4).await;
    let fleet = Fleet::spawn(&[&first, &second], &json!({})).await;
    send(fleet.address(), book("k")).await;
    let moved = first.unread() == 0;
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
    let leaving = draining(&former.server, u64::try_from(now).unwrap());
    fleet.configure(leaving).await;
    let inspect = fleet.router.inspect();
    eventually(|| inspect.servers().iter().any(|server| server.closed)).await;
    for (outcome, doubtful, status, told) in rows {
        former.set_withdrawal(outcome, doubtful);
        let reply = send(fleet.address(), book("k")).await;
        let got = (reply.status.as_u16(), reply.header("x-outcome"));
        expect_that!(got, eq((status, told)), "{outcome:?} {doubtful}");
        expect_that!(
            home.unread(),
            eq(usize::from(status == 200)),
            "{outcome:?} {doubtful}"
        );
    }
    let (_, key) = former.withdrawn().await;
    expect_that!(key, some(eq(KeyId::of(customer(), "k"))));
}

#[gtest]
#[tokio::test]
async fn a_key_waits_for_its_home_only() {
    let mut first = Fake::bind("b1", SERVICE, 0).await;
    let mut second = Fake::bind("b2", SERVICE, 0).await;
    let fleet = Fleet::spawn(&[&first, &second], &json!({})).await;
    let caller = spawn(fleet.address(), book("k"));
    let home = tokio::select! {
        () = first.declared(customer(), [0, 1, 0]) => &mut first,
        () = second.declared(customer(), [0, 1, 0]) => &mut second,
    };
    let waiting = fleet.router.inspect().waiting();
    expect_that!(waiting[0].server, some(eq(&home.server.name)));
    home.grant(1, customer());
    expect_that!(caller.await.unwrap().status.as_u16(), eq(200));
    expect_that!(home.arrival().await.ticket.grant, some(eq(1)));
}

#[gtest]
#[tokio::test]
async fn a_new_link_is_told_the_keys_sent_before() {
    let mut fake = Fake::bind("b1", SERVICE, 4).await;
    let fleet = Fleet::spawn(&[&fake], &json!({})).await;
    expect_that!(fake.recalled(), is_empty());
    fake.then(Act::Verdict(Verdict::Full));
    send(fleet.address(), book("refused")).await;
    send(fleet.address(), book("sent")).await;
    fake.unread();
    // Silent for so long that the router connects anew.
    fake.freeze(true);
    eventually(|| !fake.recalled().is_empty()).await;
    let sent = KeyId::of(customer(), "sent");
    expect_that!(fake.recalled(), elements_are![eq(&sent)]);
}

#[gtest]
#[tokio::test]
async fn a_new_link_is_told_the_keys_given_up_before() {
    let former = Fake::bind("b1", SERVICE, 4).await;
    let home = Fake::bind("b2", SERVICE, 4).await;
    let fleet = Fleet::spawn(&[&former, &home], &json!({})).await;
    let now = std::time::SystemTime::now();
    let now = now.duration_since(std::time::UNIX_EPOCH).unwrap();
    let now = u64::try_from(now.as_millis()).unwrap();
    fleet.configure(draining(&former.server, now)).await;
    let inspect = fleet.router.inspect();
    eventually(|| inspect.servers().iter().any(|server| server.closed)).await;
    former.set_withdrawal(Outcome::NotRun, false);
    // Half of the keys had their home there.
    for key in 0..32 {
        send(fleet.address(), book(&format!("k{key}"))).await;
    }
    let (_, key) = former.withdrawn().await;
    let key = key.unwrap();
    former.freeze(true);
    eventually(|| former.recalled().contains(&key)).await;
}
