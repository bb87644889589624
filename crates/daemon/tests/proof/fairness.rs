//! No customer starves, however large the others are.

use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use mulberryyoke_standin::fleet::call::End;
use serde_json::json;

use crate::common::{Ask, Fleet, Setup};

/// Rounds of a few calls at once, of which only one can run.
const ROUNDS: u32 = 200;

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_arrive_while_slots_are_granted_complete() {
    let fleet = Fleet::spawn(Setup {
        services: 1,
        slots: 1,
        latency: Duration::from_millis(1),
        router: json!({"limits": {"deadline_ms": 20_000}}),
        ..Setup::default()
    })
    .await;
    for round in 0..ROUNDS {
        let asks: Vec<Ask> = (0..3)
            .map(|n| Ask::booking(&format!("{round}-{n}")))
            .collect();
        let sent: Vec<_> = asks.iter().map(|ask| ask.spawn(fleet.router(0))).collect();
        for reply in join_all(sent).await {
            let reply = reply.unwrap();
            assert_that!(reply.end, eq(End::Whole), "{round}: {reply:?}");
        }
    }
}
