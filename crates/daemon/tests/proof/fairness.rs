//! No customer is starved by the load of others.

use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use mulberryyoke_standin::fleet::call::CallOutcome;
use serde_json::json;

use crate::common::{Fleet, Request, Setup};

/// Number of rounds of concurrent calls, of which one can run at a time.
const ROUNDS: u32 = 200;

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_arrive_while_slots_are_granted_complete() {
    let fleet = Fleet::spawn(Setup {
        services: 1,
        slots: 1,
        latency: Duration::from_millis(1),
        router_settings: json!({"limits": {"deadline_ms": 20_000}}),
        ..Setup::default()
    })
    .await;
    for round in 0..ROUNDS {
        let requests: Vec<Request> = (0..3)
            .map(|n| Request::booking(&format!("{round}-{n}")))
            .collect();
        let pending: Vec<_> = requests
            .iter()
            .map(|request| request.spawn(fleet.caller_address(0)))
            .collect();
        for response in join_all(pending).await {
            let response = response.unwrap();
            assert_that!(
                response.call_outcome,
                eq(CallOutcome::Complete),
                "{round}: {response:?}"
            );
        }
    }
}
