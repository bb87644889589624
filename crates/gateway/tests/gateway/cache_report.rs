//! Lists of cached prompt parts that a gateway fetches when it learns of model servers.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::sleep;

use crate::backend::{Backend, Behavior};
use crate::fleet;

/// Time for a list to be fetched and parsed.
const FETCHED: Duration = Duration::from_millis(300);

#[gtest]
#[tokio::test]
async fn a_started_gateway_routes_prompts_to_the_server_that_cached_their_parts() {
    // Tries both servers: without a list, the affinity key determines which one is preferred.
    for caching in 0..2 {
        let servers = [
            Backend::spawn(Behavior::Stream).await,
            Backend::spawn(Behavior::Stream).await,
        ];
        servers[caching].state.set_cached_parts("7 8");
        let (_service, node) = fleet::ready(&[&servers[0], &servers[1]]).await;
        sleep(FETCHED).await;
        let header_lines = "X-Id: 1\r\nX-Tokens: 100\r\nX-Shared: 7\r\n";
        let response = node.send("/stream/x", header_lines).await;
        expect_that!(response.status, eq(200));
        expect_that!(servers[caching].state.heads().len(), eq(1), "{caching}");
    }
}

#[gtest]
#[tokio::test]
async fn requests_succeed_despite_a_malformed_list() {
    let server = Backend::spawn(Behavior::Stream).await;
    server.state.set_cached_parts("7 what");
    let (_service, node) = fleet::ready(&[&server]).await;
    sleep(FETCHED).await;
    let header_lines = "X-Id: 1\r\nX-Tokens: 100\r\nX-Shared: 7\r\n";
    let response = node.send("/stream/x", header_lines).await;
    expect_that!(response.status, eq(200));
}
