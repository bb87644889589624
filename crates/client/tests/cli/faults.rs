//! Lost responses, concurrent changes, unreachable nodes and outages of the key-value service.

use googletest::prelude::*;
use mulberryyoke_standin::kv::{Action, Faults};

use crate::fleet::{AMAL_KEY, CLOSED_PORT, Fleet, NOOR_KEY, run_client};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_takes_effect_once_when_responses_are_lost() {
    let fleet = Fleet::start().await;
    fleet
        .run_ok("customer add scouts --key the-key-of-scouts")
        .await;
    fleet.kv.set_faults(&Faults {
        lose_answers: Some(3),
        ..Faults::default()
    });
    let output = fleet
        .run_ok("customer set scouts --share 5 --wait --json")
        .await;
    assert_that!(output.json()["in_force"], eq(true));
    let history = fleet.run_ok("config history --key customer/ --json").await;
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
async fn conflict_names_the_operator_of_the_concurrent_change() {
    let fleet = Fleet::start().await;
    for round in 2..6 {
        let add = format!("customer add scouts-{round} --key the-key-of-scouts-{round}");
        let added = fleet.run_ok(&format!("{add} --json")).await;
        let revision = added.json()["answer"]["written"]["revision"].to_string();
        // The delay exceeds the client's start-up time, so both routers read before either writes.
        fleet.kv.set_faults(&Faults {
            delay_ms: Some(30),
            ..Faults::default()
        });
        let set =
            |share: u32| format!("customer set scouts-{round} --share {share} --at {revision}");
        let (noor, amal) = (set(round), set(round + 100));
        let (noor, amal) = tokio::join!(
            fleet.run_as(NOOR_KEY, 0, &noor),
            fleet.run_as(AMAL_KEY, 1, &amal)
        );
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
        assert_that!(loser.stderr, contains_substring("conflict"));
        assert_that!(loser.stderr, contains_substring(format!("by {winner}")));
    }
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outage_of_key_value_service_rejects_changes_but_not_queries() {
    let fleet = Fleet::start().await;
    fleet
        .run_ok("customer add scouts --key the-key-of-scouts --wait")
        .await;
    fleet.kv.set_faults(&Faults {
        outage: Some(true),
        ..Faults::default()
    });
    let output = fleet.run("customer set scouts --share 5").await;
    assert_that!(output.code, eq(Some(3)));
    assert_that!(output.stderr, contains_substring("unavailable"));
    let output = fleet.run_ok("customer list").await;
    assert_that!(output.stdout, contains_substring("scouts"));
    fleet.kv.set_faults(&Faults {
        outage: Some(false),
        ..Faults::default()
    });
    fleet.run_ok("customer set scouts --share 5 --wait").await;
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restored_older_snapshot_rejects_changes() {
    let fleet = Fleet::start().await;
    fleet.kv.set_faults(&Faults {
        once: vec![Action::Snapshot],
        ..Faults::default()
    });
    fleet
        .run_ok("customer add scouts --key the-key-of-scouts --wait")
        .await;
    fleet
        .run_ok("customer add guides --key the-key-of-guides --wait")
        .await;
    fleet.kv.set_faults(&Faults {
        once: vec![Action::Restore],
        ..Faults::default()
    });
    let output = fleet.run("customer set scouts --share 5").await;
    assert_that!(output.code, eq(Some(3)));
    assert_that!(output.stderr, contains_substring("older contents"));
    let output = fleet.run_ok("customer list").await;
    assert_that!(output.stdout, contains_substring("guides"));
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unreachable_router_is_skipped_and_repeated_command_is_recognized() {
    let fleet = Fleet::start().await;
    let address = fleet.routers[1].operators().to_string();
    let routers = [CLOSED_PORT, address.as_str()];
    let line = "--command 2a customer add scouts --key the-key-of-scouts";
    let first = run_client(&routers, NOOR_KEY, line).await;
    assert_that!(
        first.stdout,
        contains_substring("customer/scouts: accepted at revision")
    );
    let again = fleet.run_ok(line).await;
    assert_that!(
        again.stdout,
        contains_substring("customer/scouts: already accepted at revision")
    );
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wait_timeout_names_lagging_nodes() {
    let fleet = Fleet::start().await;
    fleet.run_ok("pool add chat --kind model").await;
    fleet
        .run_ok(&format!("{} --wait", fleet.add_server_command()))
        .await;
    let add_unreachable = "server add m-2 --pool chat --zone a --slots 4 \
                --control 127.0.0.1:9 --data 127.0.0.1:10";
    fleet.run_ok(add_unreachable).await;
    let output = fleet
        .run("--timeout 2 customer add scouts --key the-key-of-scouts --wait")
        .await;
    assert_that!(output.code, eq(Some(3)));
    assert_that!(output.stdout, contains_substring("accepted at revision"));
    // Other nodes may be lagging as well.
    assert_that!(output.stderr, contains_substring("lagging: "));
    assert_that!(
        output.stderr,
        contains_substring("sidecar m-2 (not heard of)")
    );
    fleet.run_ok("server remove m-2 --wait").await;
    fleet.stop().await;
}
