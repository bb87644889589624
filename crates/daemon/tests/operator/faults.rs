//! Lost answers, races, outages and repeated commands.

use googletest::prelude::*;
use mulberryyoke_command::answer::Code;
use mulberryyoke_model::{Class, Customer, Object};

use crate::kv::{Fault, entry};
use crate::port::Port;

const MINE: u64 = 7;
const THEIRS: u64 = 8;
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

async fn with_customer() -> Port {
    let port = Port::open().await;
    port.kv.put(KEY, &entry("amal", 1, customer(1)));
    port
}

#[tokio::test]
async fn a_lost_answer_is_resolved() {
    for (faults, revision) in [
        (vec![Fault::LostAfter], 2),
        (vec![Fault::LostBefore], 2),
        (
            vec![Fault::LostBefore, Fault::LostBefore, Fault::LostAfter],
            2,
        ),
        (vec![Fault::LostAfter, Fault::Unsent], 2),
    ] {
        let port = with_customer().await;
        port.kv.fail(faults);
        let written = port.change(MINE, "customer set scouts --share 3").await;
        let written = written.expect("the change is accepted");
        assert_that!(written.revision, eq(revision));
        assert_that!(written.replaced, none());
        assert_that!(port.kv.writes(), eq(1));
        let (held, _) = port.kv.entry(KEY).expect("the customer is there");
        assert_that!(held.object, some(eq(&customer(3))));
    }
}

#[tokio::test]
async fn a_lost_answer_is_resolved_after_anothers_write() {
    let port = with_customer().await;
    let other = entry("amal", THEIRS, customer(9));
    port.kv.fail([Fault::LostAfterThen(KEY, other)]);
    let written = port.change(MINE, "customer set scouts --share 3").await;
    let written = written.expect("the change was accepted before the other");
    assert_that!(written.revision, eq(2));
    assert_that!(written.replaced, some(eq(3)));
    assert_that!(written.object, some(eq(&customer(9))));
}

#[tokio::test]
async fn a_write_that_was_overtaken_is_a_conflict() {
    for fault in [Fault::Race, Fault::LostBeforeThen] {
        let port = with_customer().await;
        let (held, revision) = port.kv.entry(KEY).expect("the customer is there");
        let mut other = entry("amal", THEIRS, customer(9));
        other.earlier = mulberryyoke_decide::cas::history(&held, revision);
        port.kv.fail([fault(KEY, other)]);
        let line = "customer set scouts --share 3";
        let refusal = port.change(MINE, line).await.expect_err("it was overtaken");
        assert_that!(refusal.code, eq(Code::Conflict));
        let there = refusal.conflict.expect("a conflict names what is there");
        assert_that!(there.operator, eq("amal"));
        assert_that!(there.command, eq(THEIRS));
        assert_that!(there.object, some(eq(&customer(9))));
        let now = port.kv.entry(KEY).map(|(_, revision)| revision);
        assert_that!(there.revision, eq(now));
        assert_that!(refusal.message, contains_substring("by amal"));
    }
}

#[tokio::test]
async fn a_foreign_value_leaves_the_outcome_unknown() {
    let port = with_customer().await;
    // Written by something that does not keep the writes before its own.
    let other = entry("amal", THEIRS, customer(9));
    port.kv.fail([Fault::LostBeforeThen(KEY, other)]);
    let line = "customer set scouts --share 3";
    let refusal = port
        .change(MINE, line)
        .await
        .expect_err("nothing is proved");
    assert_that!(refusal.code, eq(Code::Unknown));
    assert_that!(refusal.command, some(eq(MINE)));
    // With every answer heard, a conflict proves that nothing was changed.
    let other = entry("amal", THEIRS, customer(8));
    port.kv.fail([Fault::Race(KEY, other)]);
    let refusal = port.change(MINE, line).await.expect_err("it was overtaken");
    assert_that!(refusal.code, eq(Code::Conflict));
}

#[tokio::test]
async fn a_command_that_came_in_twice_at_once_is_accepted_once() {
    let port = with_customer().await;
    // Another router writes for the same command between reading and writing.
    port.kv
        .fail([Fault::Race(KEY, entry("noor", MINE, customer(3)))]);
    let written = port.change(MINE, "customer set scouts --share 3").await;
    assert_that!(written.map(|written| written.revision), ok(eq(&2)));
    assert_that!(port.kv.writes(), eq(0));
}

#[tokio::test]
async fn two_operators_at_once_have_one_winner() {
    let port = with_customer().await;
    let one = port.change(MINE, "customer set scouts --share 3 --at 1");
    let two = port.change(THEIRS, "customer set scouts --share 4 --at 1");
    let (one, two) = tokio::join!(one, two);
    let refusals: Vec<Code> = [&one, &two]
        .into_iter()
        .filter_map(|result| result.as_ref().err().map(|refusal| refusal.code))
        .collect();
    assert_that!(refusals, elements_are![eq(&Code::Conflict)]);
    assert_that!(port.kv.writes(), eq(1));
}

#[tokio::test]
async fn an_outage_changes_nothing() {
    let port = with_customer().await;
    port.kv.fail([Fault::Unsent]);
    let line = "customer set scouts --share 3";
    let refusal = port.change(MINE, line).await.expect_err("it was not sent");
    assert_that!(refusal.code, eq(Code::Unavailable));
    assert_that!(refusal.message, contains_substring("nothing was changed"));
    port.kv.set_down(true);
    let refusal = port.change(MINE, line).await.expect_err("nothing answers");
    assert_that!(refusal.code, eq(Code::Unavailable));
    assert_that!(port.kv.writes(), eq(0));
}

#[tokio::test]
async fn a_repeated_command_takes_effect_once() {
    let port = with_customer().await;
    let line = "customer set scouts --share 3";
    let first = port.change(MINE, line).await.expect("it is accepted");
    assert_that!(first.repeated, eq(false));
    let again = port.change(MINE, line).await.expect("it was accepted");
    assert_that!(again.repeated, eq(true));
    assert_that!(again.revision, eq(first.revision));
    let other = port.change(THEIRS, "customer set scouts --share 5").await;
    let other = other.expect("it is accepted");
    let again = port.change(MINE, line).await.expect("it was accepted");
    assert_that!(again.revision, eq(first.revision));
    assert_that!(again.replaced, some(eq(other.revision)));
    assert_that!(port.kv.writes(), eq(2));
}

#[tokio::test]
async fn older_contents_are_not_written_to() {
    let port = with_customer().await;
    port.router.config.lock().revision = 40;
    let line = "customer set scouts --share 3";
    let refusal = port.change(MINE, line).await.expect_err("they are older");
    assert_that!(refusal.code, eq(Code::Unavailable));
    assert_that!(
        refusal.message,
        contains_substring("older contents (revision 1)")
    );
    assert_that!(port.kv.writes(), eq(0));
}
