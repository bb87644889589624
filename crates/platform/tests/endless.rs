//! Bytes without end from an endpoint, where a response is expected.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use googletest::prelude::*;
use hyper::Method;
use mulberryyoke_platform::HttpError;
use mulberryyoke_platform::http::{self, Http};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Size of repeated bytes, in bytes.
const REPEATED_BYTES: usize = 64 << 10;

/// Interval between repeated bytes.
const INTERVAL: Duration = Duration::from_millis(2);

/// Maximum size of a response body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Repeated bytes that an endpoint may get rid of before the client closes the connection. Most of it
/// are the buffers of the sockets.
const MAX_SENT_BYTES: u64 = 12 << 20;

/// Time in which an endpoint notices that its connection was closed.
const CLOSE_TIME: Duration = Duration::from_millis(300);

/// An endpoint that repeats bytes until its connection is closed.
struct Endpoint {
    address: SocketAddr,
    sent: Arc<AtomicU64>,
    closed: Arc<AtomicU64>,
}

impl Endpoint {
    async fn spawn(begin: &str, repeated: &str, count: usize) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("port");
        let address = listener.local_addr().expect("address");
        let (begin, repeated) = (begin.to_owned(), repeated.repeat(count));
        let (sent, closed) = (Arc::default(), Arc::default());
        let counters: (Arc<AtomicU64>, Arc<AtomicU64>) = (Arc::clone(&sent), Arc::clone(&closed));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                serve(stream, &begin, &repeated, &counters.0).await;
                counters.1.fetch_add(1, Ordering::Relaxed);
            }
        });
        Self {
            address,
            sent,
            closed,
        }
    }
}

async fn serve(mut stream: TcpStream, begin: &str, repeated: &str, sent: &AtomicU64) {
    let read = stream.read(&mut [0; 4_096]).await.expect("request");
    assert!(read > 0, "connection closed before a request");
    let (mut reader, mut writer) = stream.split();
    let write = async {
        let mut is_open = writer.write_all(begin.as_bytes()).await.is_ok();
        while is_open {
            is_open = writer.write_all(repeated.as_bytes()).await.is_ok();
            sent.fetch_add(repeated.len() as u64, Ordering::Relaxed);
            sleep(INTERVAL).await;
        }
    };
    let mut byte = [0];
    tokio::select! {
        () = write => {}
        _ = reader.read(&mut byte) => {}
    }
}

async fn call(endpoint: &Endpoint, timeout: Duration) -> Option<HttpError> {
    let http = Http::new(1_000);
    let request = http::request(Method::GET, endpoint.address, "/any", Bytes::new());
    let called = http
        .call(request, MAX_BODY_BYTES, Instant::now() + timeout)
        .await;
    called.err().map(|failure| failure.cause)
}

const INFORMATIONAL: &str = "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n";

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4";

#[gtest]
#[tokio::test]
async fn endless_bytes_are_an_error_at_once() {
    for (begin, repeated) in [
        ("", INFORMATIONAL),
        ("HTTP/1.1 200 OK\r\n", "x-more: 1\r\n"),
        ("HTTP/1.1 200 OK\r\nx-more: ", "x"),
        ("HTTP/1.1 200 ", "x"),
        ("", "x"),
        (&format!("{CHUNKED};a="), "x"),
        (&format!("{CHUNKED}\r\ndone\r\n0\r\n"), "x-more: 1\r\n"),
        ("HTTP/1.1 200 OK\r\n\r\n", "x"),
        ("HTTP/1.1 500 Any\r\n\r\n", "x"),
    ] {
        let name = format!("{begin}{repeated}");
        let endpoint = Endpoint::spawn(begin, repeated, REPEATED_BYTES / repeated.len()).await;
        let start = Instant::now();
        let error = call(&endpoint, Duration::from_secs(5)).await;
        expect_that!(start.elapsed(), lt(Duration::from_secs(3)), "{name}");
        expect_that!(error.is_some(), eq(true), "{name}");
        sleep(CLOSE_TIME).await;
        expect_that!(endpoint.closed.load(Ordering::Relaxed), eq(1), "{name}");
        let sent = endpoint.sent.load(Ordering::Relaxed);
        expect_that!(sent, lt(MAX_SENT_BYTES), "{name}");
    }
}

#[gtest]
#[tokio::test]
async fn a_slow_flow_without_end_is_given_up_at_the_deadline() {
    let timeout = Duration::from_millis(500);
    for (begin, repeated) in [
        ("HTTP/1.1 200 OK\r\n", "x-more: 1\r\n"),
        ("HTTP/1.1 200 OK\r\n\r\n", "x"),
    ] {
        let endpoint = Endpoint::spawn(begin, repeated, 1).await;
        let start = Instant::now();
        let error = call(&endpoint, timeout).await;
        expect_that!(start.elapsed(), lt(2 * timeout), "{begin}");
        expect_that!(error.is_some(), eq(true), "{begin}");
        sleep(CLOSE_TIME).await;
        expect_that!(endpoint.closed.load(Ordering::Relaxed), eq(1), "{begin}");
    }
}
