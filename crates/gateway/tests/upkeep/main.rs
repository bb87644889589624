//! Memory of a gateway whose metrics nobody fetches, in a process of its own.

#![allow(
    dead_code,
    reason = "the modules are shared with the other integration tests"
)]

#[path = "../gateway/backend.rs"]
mod backend;
#[path = "../gateway/caller.rs"]
mod caller;
#[path = "../gateway/crashing_server.rs"]
mod crashing_server;
#[path = "../gateway/feed.rs"]
mod feed;
#[path = "../gateway/fleet.rs"]
mod fleet;
#[path = "../gateway/protocol.rs"]
mod protocol;

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::sleep;

use crate::backend::{Backend, Behavior};

/// Samples of a round, about as many as a node records in a day, and number of rounds.
const SAMPLES: u32 = 2_000_000;
const ROUNDS: u32 = 3;

/// Time in which the samples of a round are processed.
const ROUND_TIME: Duration = Duration::from_secs(6);

/// Memory that the samples of later rounds may add, in bytes: less than one byte each.
const MAX_GROWTH_BYTES: u64 = 2 << 20;

/// Guards against samples that are kept until the metrics are fetched: 18 bytes a request.
#[gtest]
#[tokio::test]
async fn samples_do_not_pile_up_while_nobody_fetches_the_metrics() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (_service, _node) = fleet::ready(&[&backend]).await;
    let mut resident = Vec::new();
    for _ in 0..ROUNDS {
        for _ in 0..SAMPLES {
            metrics::histogram!("first_answer_seconds", "kind" => "once").record(0.1);
        }
        sleep(ROUND_TIME).await;
        resident.push(mulberryyoke_gateway::resident_bytes().expect("the kernel tells it"));
    }
    let growth = resident[2].saturating_sub(resident[1]);
    expect_that!(growth, lt(MAX_GROWTH_BYTES), "{resident:?}");
}
