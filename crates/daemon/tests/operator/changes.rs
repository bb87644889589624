//! Stored values and rejections of changes.

use googletest::prelude::*;
use mulberryyoke_command::api::ErrorCode;
use mulberryyoke_model::{Class, KeyHash, Object, State};

use crate::fixture::Fixture;

const ADD: &str = "server add m-1 --pool chat --zone a --slots 8 \
                   --control 10.0.0.1:7100 --data 10.0.0.1:7101";

/// Runs commands in order, with command IDs from 100.
async fn fixture_after(lines: &[&str]) -> Fixture {
    let fixture = Fixture::open().await;
    for (command, line) in (100..).zip(lines) {
        if let Err(error) = fixture.change(command, line).await {
            panic!("{line}: {error}");
        }
    }
    fixture
}

async fn rejection(fixture: &Fixture, line: &str) -> (ErrorCode, String) {
    let error = fixture.change(1, line).await.expect_err(line);
    (error.code, error.message)
}

#[tokio::test]
async fn bearer_keys_are_stored_hashed() {
    let line = "customer add scouts --share 4 --class urgent \
                --key sesame-sesame-01 --key=sesame-sesame-02";
    let fixture = fixture_after(&[line]).await;
    let (entry, _) = fixture.kv.entry("customer/scouts").expect("entry exists");
    let Some(Object::Customer(customer)) = &entry.object else {
        panic!("not a customer: {entry:?}");
    };
    assert_that!(customer.share, eq(4));
    assert_that!(customer.class, eq(Class::Urgent));
    let hashes = [
        KeyHash::of("sesame-sesame-01"),
        KeyHash::of("sesame-sesame-02"),
    ];
    assert_that!(customer.keys, container_eq(hashes));
    assert_that!(entry.operator, eq("noor"));
    assert_that!(entry.command, eq(100));
    assert_that!(entry.words, not(contains_substring("sesame")));
}

#[tokio::test]
async fn customers_are_changed_and_removed() {
    let fixture = fixture_after(&[
        "customer add scouts --key first-key-of-scouts",
        "customer set scouts --share 3 --queue 9 --key second-key-of-scouts",
    ])
    .await;
    let hash = KeyHash::of("first-key-of-scouts").0;
    let drop_key = format!("customer set scouts --drop-key {}", &hash[..8]);
    let written = fixture
        .change(9, &drop_key)
        .await
        .expect("bearer key is removed");
    let Some(Object::Customer(customer)) = written.object else {
        panic!("not a customer");
    };
    assert_that!(customer.share, eq(3));
    assert_that!(customer.queue, some(eq(9)));
    assert_that!(
        customer.keys,
        elements_are![eq(&KeyHash::of("second-key-of-scouts"))]
    );
    let unchanged = fixture.change(10, "customer set scouts --share 3").await;
    assert_that!(unchanged.map(|written| written.unchanged), ok(eq(&true)));
    let removed = fixture.change(11, "customer remove scouts").await;
    assert_that!(removed.map(|written| written.object), ok(none()));
    assert_that!(
        rejection(&fixture, "customer remove scouts").await.0,
        eq(ErrorCode::Missing)
    );
    let again = fixture.change(12, "customer add scouts").await;
    assert_that!(again.map(|written| written.unchanged), ok(eq(&false)));
}

#[gtest]
#[tokio::test]
async fn conflicting_changes_are_rejected() {
    let fixture = fixture_after(&[
        "customer add scouts --key the-key-of-scouts",
        "pool add chat --kind model",
        ADD,
    ])
    .await;
    let table = [
        (
            "customer add scouts --share 2",
            ErrorCode::Conflict,
            "already exists",
        ),
        (
            "customer add other --key the-key-of-scouts",
            ErrorCode::Refused,
            "belongs to customer scouts",
        ),
        (
            "customer set none --share 2",
            ErrorCode::Missing,
            "customer/none: does not exist",
        ),
        (
            "customer set scouts --drop-key 00",
            ErrorCode::Refused,
            "no key's hash starts with 00",
        ),
        (
            "customer set scouts --share 2 --at 99",
            ErrorCode::Conflict,
            "changed at revision 1",
        ),
        (
            "pool remove chat",
            ErrorCode::Refused,
            "pool still has servers, for example m-1",
        ),
        (
            "pool remove none",
            ErrorCode::Missing,
            "pool/none: does not exist",
        ),
        (
            "server add m-2 --pool none --zone a --slots 8 --control 10.0.0.2:1 --data 10.0.0.2:2",
            ErrorCode::Missing,
            "pool/none: does not exist; add it first",
        ),
        (
            "server add m-2 --pool chat --zone a --slots 8 --control 10.0.0.2:1 --data 10.0.0.1:7101",
            ErrorCode::Refused,
            "address already in use by server m-1",
        ),
        (
            "server add m-1 --pool chat --zone b --slots 8 --control 10.0.0.1:7100 --data 10.0.0.1:7101",
            ErrorCode::Conflict,
            "already exists",
        ),
        (
            "server drain m-9",
            ErrorCode::Missing,
            "server/m-9: does not exist",
        ),
    ];
    for (line, code, reason) in table {
        let (found, message) = rejection(&fixture, line).await;
        expect_that!(found, eq(code), "{line}");
        expect_that!(message, contains_substring(reason), "{line}");
    }
    let same = fixture.change(2, "pool add chat --kind model").await;
    assert_that!(same.map(|written| written.unchanged), ok(eq(&true)));
    assert_that!(fixture.kv.writes(), eq(3));
}

#[tokio::test]
async fn servers_are_drained_resumed_removed_and_added_again() {
    let fixture = fixture_after(&["pool add chat --kind model", ADD]).await;
    let mut first_added_at = None;
    for (command, (line, state)) in (10..).zip([
        ("server drain m-1", State::Draining),
        ("server resume m-1", State::Active),
        ("server remove m-1", State::Removed),
        (ADD, State::Active),
    ]) {
        let written = fixture.change(command, line).await.expect(line);
        let Some(Object::Server(server)) = written.object else {
            panic!("{line}: not a server");
        };
        assert_that!(server.state, eq(state), "{line}");
        let added_at = *first_added_at.get_or_insert(server.added_at);
        assert_that!(server.added_at, eq(added_at), "{line}");
    }
    fixture
        .change(20, "server remove m-1")
        .await
        .expect("server is removed");
    assert_that!(
        rejection(&fixture, "server resume m-1").await.0,
        eq(ErrorCode::Refused)
    );
    fixture
        .change(21, "pool remove chat")
        .await
        .expect("pool is empty");
}

#[tokio::test]
async fn routes_belong_to_one_pool() {
    let fixture = Fixture::open().await;
    let add = |name: &str, route: &str| {
        let words = ["pool", "add", name, "--kind", "service", "--route", route];
        serde_json::json!({ "words": words }).to_string()
    };
    let key = crate::fixture::KEY;
    let route = "POST /bookings once 40";
    assert_that!(
        fixture.send_command(key, add("booking", route)).await.1.ok,
        eq(true)
    );
    let (_, reply) = fixture.send_command(key, add("other", route)).await;
    let message = reply.error.expect("route is already in use").message;
    assert_that!(
        message,
        contains_substring("already belongs to pool booking")
    );
    let other = add("other", "GET /bookings repeatable 4");
    assert_that!(fixture.send_command(key, other).await.1.ok, eq(true));
}

#[tokio::test]
async fn expired_tombstones_are_deleted() {
    let fixture = fixture_after(&["pool add chat --kind model", ADD, "server remove m-1"]).await;
    let (mut entry, _) = fixture.kv.entry("server/m-1").expect("tombstone is kept");
    let others = "--pool chat --zone a --slots 8 --control 10.0.0.2:1 --data 10.0.0.2:2";
    fixture
        .change(10, &format!("server add m-2 {others}"))
        .await
        .expect("change is accepted");
    assert_that!(fixture.kv.entry("server/m-1"), some(anything()));
    // Backdates the removal beyond the retention time.
    entry.at = 1;
    fixture.kv.put("server/m-1", &entry);
    fixture
        .change(11, "server remove m-2")
        .await
        .expect("change is accepted");
    fixture
        .change(12, &format!("server add m-2 {others}"))
        .await
        .expect("change is accepted");
    assert_that!(fixture.kv.entry("server/m-1"), none());
    assert_that!(fixture.kv.entry("server/m-2"), some(anything()));
    // A server that is added again is no longer a tombstone.
    fixture
        .change(13, "server remove m-2")
        .await
        .expect("change is accepted");
    let (mut entry, _) = fixture.kv.entry("server/m-2").expect("tombstone is kept");
    entry.at = 1;
    fixture.kv.put("server/m-2", &entry);
    let again = format!("server add m-2 {others}");
    fixture
        .change(14, &again)
        .await
        .expect("change is accepted");
    assert_that!(fixture.kv.entry("server/m-2"), some(anything()));
}
