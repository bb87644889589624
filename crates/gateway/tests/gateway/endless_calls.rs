//! Calls to the control port whose message does not end.

use std::time::Duration;

use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, timeout};

use crate::caller;
use crate::fleet::ready_at;

/// Paths at which messages of other gateways are read.
const PATHS: [&str; 2] = ["/quarantine/admit", "/streams/origin"];

/// Time limit for a response to a message that does not end.
const TIMEOUT: Duration = Duration::from_secs(3);

fn head(path: &str, header: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: h\r\n{header}\r\n\r\n")
}

#[gtest]
#[tokio::test]
async fn a_message_that_does_not_end_is_refused_in_time() {
    let (_service, node) = ready_at(&[], None).await;
    for path in PATHS {
        let request = head(path, "Content-Length: 100") + "abc";
        let mut stream = caller::open(node.control, &request).await;
        let mut part = [0; 64];
        let read = timeout(TIMEOUT, stream.read(&mut part)).await;
        let read = read.ok().and_then(std::result::Result::ok).unwrap_or(0);
        expect_that!(
            part[..read].starts_with(b"HTTP/1.1 400"),
            eq(true),
            "{path}"
        );
    }
}

#[gtest]
#[tokio::test]
async fn a_message_without_end_is_refused_and_its_connection_closed() {
    let (_service, node) = ready_at(&[], None).await;
    for path in PATHS {
        let request = head(path, "Transfer-Encoding: chunked");
        let mut stream = caller::open(node.control, &request).await;
        let write = async {
            let chunk = format!("400\r\n{}\r\n", "x".repeat(0x400));
            while stream.write_all(chunk.as_bytes()).await.is_ok() {
                sleep(Duration::from_millis(1)).await;
            }
        };
        expect_that!(timeout(TIMEOUT, write).await.is_ok(), eq(true), "{path}");
    }
}
