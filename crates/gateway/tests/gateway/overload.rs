//! An overloaded node.

use std::time::Duration;

use googletest::prelude::*;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::backend::{Backend, Behavior};
use crate::fleet::ready;

/// Time for which the runtime that the gateway shares with the test is blocked, each time.
const BLOCKED: Duration = Duration::from_millis(300);

#[gtest]
#[tokio::test]
async fn an_overloaded_node_refuses_connections_until_it_has_recovered() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (_service, node) = ready(&[&backend]).await;
    expect_that!(node.send("/once/", "").await.status, eq(200));
    for _ in 0..5 {
        std::thread::sleep(BLOCKED);
        sleep(Duration::from_millis(60)).await;
    }
    expect_that!(TcpStream::connect(node.callers).await, err(anything()));
    expect_that!(node.ready().await, eq(503));
    sleep(Duration::from_millis(1_200)).await;
    expect_that!(
        node.send("/once/", "").await.status,
        eq(200),
        "it has recovered"
    );
}
