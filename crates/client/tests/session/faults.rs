//! Lost answers, races and outages of the key-value service.

use googletest::prelude::*;
use mulberryyoke_standin::kv::{Action, Faults};

use crate::fleet::{AMAL, Fleet, NOOR, client};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_whose_answers_are_lost_takes_effect_once() {
    let fleet = Fleet::open().await;
    fleet
        .done("customer add scouts --key the-key-of-scouts")
        .await;
    fleet.kv.set_faults(&Faults {
        lose_answers: Some(3),
        ..Faults::default()
    });
    let said = fleet
        .done("customer set scouts --share 5 --wait --json")
        .await;
    assert_that!(said.json()["in_force"], eq(true));
    let history = fleet.done("config history --key customer/ --json").await;
    let history = &history.json()["answer"]["history"];
    let words: Vec<&str> = history
        .as_array()
        .expect("a list")
        .iter()
        .filter_map(|write| write["words"].as_str())
        .collect();
    let added = "customer add scouts --key ***";
    assert_that!(
        words,
        elements_are![eq(&"customer set scouts --share 5"), eq(&added)]
    );
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_two_operators_one_wins_and_the_other_learns_to_whom() {
    let fleet = Fleet::open().await;
    for round in 2..6 {
        let name = format!("customer add scouts-{round} --key the-key-of-scouts-{round}");
        let added = fleet.done(&format!("{name} --json")).await;
        let revision = added.json()["answer"]["written"]["revision"].to_string();
        // Both read before either writes, as the delay outlasts the start.
        fleet.kv.set_faults(&Faults {
            delay_ms: Some(30),
            ..Faults::default()
        });
        let set =
            |share: u32| format!("customer set scouts-{round} --share {share} --at {revision}");
        let (noor, amal) = (set(round), set(round + 100));
        let (noor, amal) = tokio::join!(fleet.run_as(NOOR, 0, &noor), fleet.run_as(AMAL, 1, &amal));
        fleet.kv.set_faults(&Faults {
            delay_ms: Some(0),
            ..Faults::default()
        });
        let mut codes = [noor.code, amal.code];
        codes.sort_unstable();
        assert_that!(codes, eq([Some(0), Some(1)]));
        let (loser, winner) = if noor.code == Some(1) {
            (noor, "amal")
        } else {
            (amal, "noor")
        };
        assert_that!(loser.err, contains_substring("conflict"));
        assert_that!(loser.err, contains_substring(format!("by {winner}")));
    }
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_refuses_changes_and_answers_questions() {
    let fleet = Fleet::open().await;
    fleet
        .done("customer add scouts --key the-key-of-scouts --wait")
        .await;
    fleet.kv.set_faults(&Faults {
        outage: Some(true),
        ..Faults::default()
    });
    let said = fleet.run("customer set scouts --share 5").await;
    assert_that!(said.code, eq(Some(3)));
    assert_that!(said.err, contains_substring("unavailable"));
    let said = fleet.done("customer list").await;
    assert_that!(said.out, contains_substring("scouts"));
    fleet.kv.set_faults(&Faults {
        outage: Some(false),
        ..Faults::default()
    });
    fleet.done("customer set scouts --share 5 --wait").await;
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn older_contents_take_no_changes() {
    let fleet = Fleet::open().await;
    fleet.kv.set_faults(&Faults {
        once: vec![Action::Snapshot],
        ..Faults::default()
    });
    fleet
        .done("customer add scouts --key the-key-of-scouts --wait")
        .await;
    fleet
        .done("customer add guides --key the-key-of-guides --wait")
        .await;
    fleet.kv.set_faults(&Faults {
        once: vec![Action::Restore],
        ..Faults::default()
    });
    let said = fleet.run("customer set scouts --share 5").await;
    assert_that!(said.code, eq(Some(3)));
    assert_that!(said.err, contains_substring("older contents"));
    let said = fleet.done("customer list").await;
    assert_that!(said.out, contains_substring("guides"));
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_command_goes_to_the_next_router_and_may_be_repeated() {
    let fleet = Fleet::open().await;
    let address = fleet.routers[1].operators().to_string();
    let routers = ["127.0.0.1:9", address.as_str()];
    let line = "--command 2a customer add scouts --key the-key-of-scouts";
    let first = client(&routers, NOOR, line).await;
    assert_that!(
        first.out,
        contains_substring("customer/scouts: accepted at revision")
    );
    let again = fleet.done(line).await;
    assert_that!(
        again.out,
        contains_substring("customer/scouts: already accepted at revision")
    );
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_that_lag_are_named() {
    let fleet = Fleet::open().await;
    fleet.done("pool add chat --kind model").await;
    fleet.done(&format!("{} --wait", fleet.add_server())).await;
    let dead = "server add m-2 --pool chat --zone a --slots 4 \
                --control 127.0.0.1:9 --data 127.0.0.1:10";
    fleet.done(dead).await;
    let said = fleet
        .run("--timeout 2 customer add scouts --key the-key-of-scouts --wait")
        .await;
    assert_that!(said.code, eq(Some(3)));
    assert_that!(said.out, contains_substring("accepted at revision"));
    // The other sidecar may have been about to learn of it.
    assert_that!(said.err, contains_substring("lagging: "));
    assert_that!(said.err, contains_substring("sidecar m-2 (not heard of)"));
    fleet.done("server remove m-2 --wait").await;
    fleet.stop().await;
}
