//! A node that has more to do than its processor can.

use std::time::Duration;

use googletest::prelude::*;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::backend::{Backend, Behavior};
use crate::fleet::ready;

/// Time for which the runtime that the gateway shares with the test is held up, each time.
const HELD_UP: Duration = Duration::from_millis(300);

#[gtest]
#[tokio::test]
async fn an_overloaded_node_tells_new_connections_at_once_to_go_elsewhere() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (_service, node) = ready(&[&backend]).await;
    expect_that!(node.ask("/once/", "").await.status, eq(200));
    for _ in 0..5 {
        std::thread::sleep(HELD_UP);
        sleep(Duration::from_millis(60)).await;
    }
    expect_that!(TcpStream::connect(node.callers).await, err(anything()));
    expect_that!(node.ready().await, eq(503));
    sleep(Duration::from_millis(1_200)).await;
    expect_that!(
        node.ask("/once/", "").await.status,
        eq(200),
        "it has caught up"
    );
}
