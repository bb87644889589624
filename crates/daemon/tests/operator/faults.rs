//! Lost responses, races, outages and retried commands.

use googletest::prelude::*;
use mulberryyoke_command::api::ErrorCode;
use mulberryyoke_model::{Class, Customer, Object};

use crate::fixture::Fixture;
use crate::kv::{Fault, entry};

const COMMAND: u64 = 7;
const OTHER_COMMAND: u64 = 8;
const KEY: &str = "customer/scouts";

fn customer(share: u32) -> Object {
    Object::Customer(Customer {
        name: "scouts".to_owned(),
        share,
        class: Class::Normal,
        keys: Vec::new(),
        queue: None,
    })
}

async fn fixture_with_customer() -> Fixture {
    let fixture = Fixture::open().await;
    fixture.kv.put(KEY, &entry("amal", 1, customer(1)));
    fixture
}

#[tokio::test]
async fn a_lost_response_is_resolved() {
    for (faults, revision) in [
        (vec![Fault::ResponseLost], 2),
        (vec![Fault::RequestLost], 2),
        (
            vec![Fault::RequestLost, Fault::RequestLost, Fault::ResponseLost],
            2,
        ),
        (vec![Fault::ResponseLost, Fault::Unsent], 2),
    ] {
        let fixture = fixture_with_customer().await;
        fixture.kv.inject(faults);
        let written = fixture
            .change(COMMAND, "customer set scouts --share 3")
            .await;
        let written = written.expect("change is accepted");
        assert_that!(written.revision, eq(revision));
        assert_that!(written.replaced, none());
        assert_that!(fixture.kv.writes(), eq(1));
        let (stored, _) = fixture.kv.entry(KEY).expect("customer exists");
        assert_that!(stored.object, some(eq(&customer(3))));
    }
}

#[tokio::test]
async fn a_lost_response_is_resolved_after_another_write() {
    let fixture = fixture_with_customer().await;
    let other = entry("amal", OTHER_COMMAND, customer(9));
    fixture
        .kv
        .inject([Fault::ResponseLostThenWrite(KEY, other)]);
    let written = fixture
        .change(COMMAND, "customer set scouts --share 3")
        .await;
    let written = written.expect("change took effect before the other write");
    assert_that!(written.revision, eq(2));
    assert_that!(written.replaced, some(eq(3)));
    assert_that!(written.object, some(eq(&customer(9))));
}

#[tokio::test]
async fn losing_a_race_is_a_conflict() {
    for fault in [Fault::Race, Fault::RequestLostThenWrite] {
        let fixture = fixture_with_customer().await;
        let (stored, revision) = fixture.kv.entry(KEY).expect("customer exists");
        let mut other = entry("amal", OTHER_COMMAND, customer(9));
        other.earlier = mulberryyoke_decide::cas::history(&stored, revision);
        fixture.kv.inject([fault(KEY, other)]);
        let line = "customer set scouts --share 3";
        let error = fixture
            .change(COMMAND, line)
            .await
            .expect_err("another write came first");
        assert_that!(error.code, eq(ErrorCode::Conflict));
        let conflict = error.conflict.expect("error reports the current entry");
        assert_that!(conflict.operator, eq("amal"));
        assert_that!(conflict.command, eq(OTHER_COMMAND));
        assert_that!(conflict.object, some(eq(&customer(9))));
        let revision = fixture.kv.entry(KEY).map(|(_, revision)| revision);
        assert_that!(conflict.revision, eq(revision));
        assert_that!(error.message, contains_substring("by amal"));
    }
}

#[tokio::test]
async fn an_entry_without_history_leaves_the_outcome_unknown() {
    let fixture = fixture_with_customer().await;
    // The other write does not record the history.
    let other = entry("amal", OTHER_COMMAND, customer(9));
    fixture.kv.inject([Fault::RequestLostThenWrite(KEY, other)]);
    let line = "customer set scouts --share 3";
    let error = fixture
        .change(COMMAND, line)
        .await
        .expect_err("outcome is unknown");
    assert_that!(error.code, eq(ErrorCode::Unknown));
    assert_that!(error.command, some(eq(COMMAND)));
    // If no response was lost, a conflict proves that the change had no effect.
    let other = entry("amal", OTHER_COMMAND, customer(8));
    fixture.kv.inject([Fault::Race(KEY, other)]);
    let error = fixture
        .change(COMMAND, line)
        .await
        .expect_err("another write came first");
    assert_that!(error.code, eq(ErrorCode::Conflict));
}

#[tokio::test]
async fn concurrent_duplicates_of_a_command_are_accepted_once() {
    let fixture = fixture_with_customer().await;
    // Another router executes the same command between read and write.
    fixture
        .kv
        .inject([Fault::Race(KEY, entry("noor", COMMAND, customer(3)))]);
    let written = fixture
        .change(COMMAND, "customer set scouts --share 3")
        .await;
    assert_that!(written.map(|written| written.revision), ok(eq(&2)));
    assert_that!(fixture.kv.writes(), eq(0));
}

#[tokio::test]
async fn one_of_two_concurrent_changes_succeeds() {
    let fixture = fixture_with_customer().await;
    let first = fixture.change(COMMAND, "customer set scouts --share 3 --at 1");
    let second = fixture.change(OTHER_COMMAND, "customer set scouts --share 4 --at 1");
    let (first, second) = tokio::join!(first, second);
    let errors: Vec<ErrorCode> = [&first, &second]
        .into_iter()
        .filter_map(|result| result.as_ref().err().map(|error| error.code))
        .collect();
    assert_that!(errors, elements_are![eq(&ErrorCode::Conflict)]);
    assert_that!(fixture.kv.writes(), eq(1));
}

#[tokio::test]
async fn changes_fail_during_an_outage() {
    let fixture = fixture_with_customer().await;
    fixture.kv.inject([Fault::Unsent]);
    let line = "customer set scouts --share 3";
    let error = fixture
        .change(COMMAND, line)
        .await
        .expect_err("request is not sent");
    assert_that!(error.code, eq(ErrorCode::Unavailable));
    assert_that!(error.message, contains_substring("nothing was changed"));
    fixture.kv.set_down(true);
    let error = fixture
        .change(COMMAND, line)
        .await
        .expect_err("service is down");
    assert_that!(error.code, eq(ErrorCode::Unavailable));
    assert_that!(fixture.kv.writes(), eq(0));
}

#[tokio::test]
async fn a_repeated_command_takes_effect_once() {
    let fixture = fixture_with_customer().await;
    let line = "customer set scouts --share 3";
    let first = fixture
        .change(COMMAND, line)
        .await
        .expect("change is accepted");
    assert_that!(first.repeated, eq(false));
    let retry = fixture
        .change(COMMAND, line)
        .await
        .expect("retry is accepted");
    assert_that!(retry.repeated, eq(true));
    assert_that!(retry.revision, eq(first.revision));
    let other = fixture
        .change(OTHER_COMMAND, "customer set scouts --share 5")
        .await;
    let other = other.expect("change is accepted");
    let retry = fixture
        .change(COMMAND, line)
        .await
        .expect("retry is accepted");
    assert_that!(retry.revision, eq(first.revision));
    assert_that!(retry.replaced, some(eq(other.revision)));
    assert_that!(fixture.kv.writes(), eq(2));
}

#[tokio::test]
async fn older_contents_are_not_overwritten() {
    let fixture = fixture_with_customer().await;
    fixture.router.config.lock().revision = 40;
    let line = "customer set scouts --share 3";
    let error = fixture
        .change(COMMAND, line)
        .await
        .expect_err("contents are older");
    assert_that!(error.code, eq(ErrorCode::Unavailable));
    assert_that!(
        error.message,
        contains_substring("older contents (revision 1)")
    );
    assert_that!(fixture.kv.writes(), eq(0));
}
