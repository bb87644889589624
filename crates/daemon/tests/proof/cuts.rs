//! Answers that are cut at any byte on their way through a sidecar and a router.

use googletest::prelude::*;
use mulberryyoke_standin::fleet::call::CallOutcome;
use mulberryyoke_standin::fleet::relay::Relay;

use crate::common::{Fleet, Request, Setup};

/// Length of the streamed responses, in tokens.
const RESPONSE_TOKENS: u32 = 3;

/// Bytes after which answers are cut, up to beyond the head, and between two of them.
const CUT_BYTES: std::ops::Range<usize> = 1..260;
const STRIDE: usize = 3;

/// Number of answers whose caller at least gets a failure: those that are cut inside their head.
const MIN_FAILURES: usize = 20;

async fn fleet(engines: usize, services: usize) -> Fleet {
    Fleet::spawn(Setup {
        engines,
        services,
        slots: 16,
        with_sidecar_relays: true,
        ..Setup::default()
    })
    .await
}

/// Cuts one answer after another on the way behind a relay. Returns the wrong ones, and expects that
/// some are no answers.
async fn cut(fleet: &Fleet, relay: &Relay, request: impl Fn(&str) -> Request) -> Vec<String> {
    let (mut faults, mut failures) = (Vec::new(), 0);
    for bytes in CUT_BYTES.step_by(STRIDE) {
        relay.cut_after(bytes);
        let request = request(&format!("{bytes}"));
        let response = request.send(fleet.caller_address(0)).await;
        let runs = fleet.start_count(&request.op);
        let is_claimed = response.status == 200 && response.body.is_ok();
        let is_whole = response.call_outcome == CallOutcome::Complete;
        failures += usize::from(!is_claimed);
        let denies_run = response.call_outcome == CallOutcome::NotRun && runs > 0;
        if (is_claimed && !is_whole) || denies_run {
            faults.push(format!("{bytes} bytes, {runs} runs: {response:?}"));
        }
    }
    expect_that!(failures, gt(MIN_FAILURES));
    faults
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_is_cut_behind_a_sidecar_is_not_whole() {
    let fleet = fleet(1, 0).await;
    let relay = &fleet.backends[0].relay;
    let faults = cut(&fleet, relay, |name| Request::chat(name, RESPONSE_TOKENS)).await;
    expect_that!(faults, is_empty());
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_is_cut_between_router_and_sidecar_is_not_whole() {
    let fleet = fleet(1, 0).await;
    let [_, data_relay] = &fleet.sidecar_relays[0];
    let faults = cut(&fleet, data_relay, |name| {
        Request::chat(name, RESPONSE_TOKENS)
    })
    .await;
    expect_that!(faults, is_empty());
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_whose_answer_is_cut_runs_once() {
    let fleet = fleet(0, 1).await;
    let [_, data_relay] = &fleet.sidecar_relays[0];
    for relay in [&fleet.backends[0].relay, data_relay] {
        let name = relay.address.port();
        let request = |bytes: &str| Request::booking(&format!("{name}-{bytes}"));
        let faults = cut(&fleet, relay, request).await;
        expect_that!(faults, is_empty());
        for bytes in CUT_BYTES.step_by(STRIDE) {
            let runs = fleet.start_count(&request(&format!("{bytes}")).op);
            expect_that!(runs, le(1), "{bytes}");
        }
    }
}
