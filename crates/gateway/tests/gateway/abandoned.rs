//! Requests that were abandoned while they were sent must not reach their server later.

use std::time::Duration;

use googletest::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use crate::caller;
use crate::fleet::ready_for_uploads;

/// Size of a body that doesn't fit into the buffers of the server's connection, in bytes.
const BODY_BYTES: usize = 4_000_000;

/// Time after which the caller leaves, and from then until the server reads on.
const PAUSE: Duration = Duration::from_millis(400);

/// Time within which the server reads all that comes.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

// What a partition held up reached its server seconds after the request had been abandoned.
#[gtest]
#[tokio::test]
async fn the_rest_of_a_request_does_not_reach_its_server_after_its_caller_left() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (_service, node) = ready_for_uploads(&[address], BODY_BYTES).await;
    // Lists of cached parts and other connections are left unread.
    let body = "x".repeat(BODY_BYTES);
    let request = caller::request_with_body("/once/", "x-tokens: 100\r\n", &body);
    let caller = caller::open(node.callers, &request).await;
    let mut stream = loop {
        let accepted = timeout(READ_TIMEOUT, listener.accept()).await;
        let (mut stream, _) = accepted.expect("in time").expect("a connection");
        let mut begin = [0; 5];
        let read = timeout(PAUSE, stream.read_exact(&mut begin)).await;
        if matches!(read, Ok(Ok(_))) && &begin == b"POST " {
            break stream;
        }
    };
    sleep(PAUSE).await;
    drop(caller);
    sleep(PAUSE).await;
    let mut received = Vec::new();
    let read = timeout(READ_TIMEOUT, stream.read_to_end(&mut received)).await;
    expect_that!(read.expect("the connection ends").is_ok(), eq(false));
    expect_that!(received.len(), lt(BODY_BYTES));
}
