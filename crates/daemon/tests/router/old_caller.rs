//! Callers of HTTP/1.0, which know no chunks.

use std::net::SocketAddr;

use googletest::prelude::*;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fake_sidecar::{Behavior, FakeSidecar};
use crate::fleet::{CUSTOMER, Fleet, MODEL};

/// Text that a server sends before it breaks off.
const PART: &str = "data: 1\n\n";

async fn open(address: SocketAddr) -> TcpStream {
    let body = json!({"model": MODEL, "messages": [{"role": "user", "content": "hi"}]}).to_string();
    let length = body.len();
    let request = format!(
        "POST /v1/chat/completions HTTP/1.0\r\nhost: router\r\nauthorization: Bearer key-{CUSTOMER}\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

async fn read_until(stream: &mut TcpStream, end: &str) {
    let mut text = Vec::new();
    while !text.ends_with(end.as_bytes()) {
        text.push(stream.read_u8().await.unwrap());
    }
}

#[gtest]
#[tokio::test]
async fn a_truncated_response_does_not_look_whole_to_a_caller_of_http_1_0() {
    for (behavior, is_whole) in [
        (Behavior::Abort(PART), false),
        (Behavior::HoldEnd(PART), true),
    ] {
        let fake = FakeSidecar::bind("s1", MODEL, 4).await;
        let fleet = Fleet::spawn(&[&fake], &json!({})).await;
        fake.on_next_request(behavior.clone());
        let mut stream = open(fleet.address()).await;
        read_until(&mut stream, PART).await;
        fake.release();
        let read = stream.read_to_end(&mut Vec::new()).await;
        expect_that!(read.is_ok(), eq(is_whole), "{behavior:?}");
    }
}
