//! What servers say they keep when a node begins to know them.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::sleep;

use crate::backend::{Backend, Behavior};
use crate::fleet;

/// Time for a list to be asked and read.
const LISTED: Duration = Duration::from_millis(300);

#[gtest]
#[tokio::test]
async fn a_new_gateway_sends_prompts_where_their_parts_are_kept() {
    // With either server as the keeper: one of them is the home of the part for a
    // node that knows nothing.
    for keeper in 0..2 {
        let servers = [
            Backend::spawn(Behavior::Stream).await,
            Backend::spawn(Behavior::Stream).await,
        ];
        servers[keeper].state.set_cached_parts("7 8");
        let (_service, node) = fleet::ready(&[&servers[0], &servers[1]]).await;
        sleep(LISTED).await;
        let fields = "X-Id: 1\r\nX-Tokens: 100\r\nX-Shared: 7\r\n";
        let reply = node.ask("/stream/x", fields).await;
        expect_that!(reply.status, eq(200));
        expect_that!(servers[keeper].state.heads().len(), eq(1), "{keeper}");
    }
}

#[gtest]
#[tokio::test]
async fn a_list_that_cannot_be_read_costs_no_answer() {
    let server = Backend::spawn(Behavior::Stream).await;
    server.state.set_cached_parts("7 what");
    let (_service, node) = fleet::ready(&[&server]).await;
    sleep(LISTED).await;
    let fields = "X-Id: 1\r\nX-Tokens: 100\r\nX-Shared: 7\r\n";
    let reply = node.ask("/stream/x", fields).await;
    expect_that!(reply.status, eq(200));
}
