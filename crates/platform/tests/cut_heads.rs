//! Answers that are cut inside their head.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use bytes::Bytes;
use googletest::prelude::*;
use hyper::Method;
use metrics_exporter_prometheus::PrometheusBuilder;
use mulberryyoke_platform::http::{self, Http};
use mulberryyoke_platform::kv::{self, Etcd, Expect, Kv, LeaseId, Options};
use mulberryyoke_platform::vm::{self, Vms};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const OPTIONS: Options = Options {
    connect_timeout_ms: 10_000,
    call_timeout_ms: 5_000,
    watch_idle_timeout_ms: 10_000,
    max_response_bytes: 1_000,
    page_size: 10,
};

const HEADS: [&str; 7] = [
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-type: a\r\n\r\n",
    "HTTP/1.0 200 OK\r\nconnection: keep-alive\r\n\r\n",
    "HTTP/1.1 204 No Content\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n",
];

/// Answer before the one that is cut, on connections that are used again. Every client rejects it or
/// takes it for an empty result.
const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

/// Maximum size of a response body, in bytes.
const MAX_BODY_BYTES: usize = 1_000;

/// How a connection ends.
#[derive(Clone, Copy, Debug)]
enum End {
    Close,
    Reset,
}

/// An endpoint that answers `whole` times on each connection, and then sends `cut`.
async fn spawn(whole: usize, cut: &str, end: End) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("port");
    let address = listener.local_addr().expect("address");
    let cut = cut.to_owned();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let cut = cut.clone();
            tokio::spawn(async move { serve(stream, whole, &cut, end).await });
        }
    });
    address
}

async fn serve(mut stream: TcpStream, whole: usize, cut: &str, end: End) {
    for answer in std::iter::repeat_n(WHOLE, whole).chain([cut]) {
        if !matches!(stream.read(&mut [0; 4_096]).await, Ok(read) if read > 0) {
            return;
        }
        let _ = stream.write_all(answer.as_bytes()).await;
    }
    if matches!(end, End::Reset) {
        let _ = stream.set_zero_linger();
    }
}

fn cuts() -> impl Iterator<Item = &'static str> {
    let cuts = HEADS.into_iter();
    cuts.flat_map(|head| (0..head.len()).map(move |sent| &head[..sent]))
}

async fn call(http: &Http, address: SocketAddr) -> std::result::Result<Bytes, http::Failure> {
    let request = http::request(Method::GET, address, "/any", Bytes::new());
    let deadline = Instant::now() + Duration::from_secs(5);
    http.call(request, MAX_BODY_BYTES, deadline).await
}

#[gtest]
#[tokio::test]
async fn a_head_that_is_cut_at_any_byte_is_an_error() {
    for end in [End::Close, End::Reset] {
        for whole in [0, 1] {
            for cut in cuts() {
                let address = spawn(whole, cut, end).await;
                let http = Http::new(1_000);
                for _ in 0..whole {
                    let body = call(&http, address).await.expect("a whole answer");
                    expect_that!(&body[..], eq(b"{}"));
                }
                let failure = call(&http, address).await.expect_err("a failure");
                expect_that!(failure.sent, eq(true), "{whole} {cut:?} {end:?}");
            }
        }
    }
}

/// Makes each call of the service once. Returns those that did not fail with an unknown outcome.
async fn call_all(address: SocketAddr) -> Vec<&'static str> {
    let client = || Etcd::new(vec![address], OPTIONS);
    let is_unknown = |error: kv::Error| matches!(error, kv::Error::Unknown(_));
    let id = LeaseId(1);
    let results = [
        (
            "range",
            client().range("p").await.err().is_some_and(is_unknown),
        ),
        ("get", client().get("k").await.err().is_some_and(is_unknown)),
        (
            "swap",
            client()
                .swap("k", Expect::Any, None, None)
                .await
                .err()
                .is_some_and(is_unknown),
        ),
        (
            "watch",
            client().watch("p", 0).await.err().is_some_and(is_unknown),
        ),
        (
            "grant",
            client()
                .lease_grant(1_000)
                .await
                .err()
                .is_some_and(is_unknown),
        ),
        (
            "keep",
            client()
                .lease_keep_alive(id)
                .await
                .err()
                .is_some_and(is_unknown),
        ),
        (
            "revoke",
            client()
                .lease_revoke(id)
                .await
                .err()
                .is_some_and(is_unknown),
        ),
        (
            "vms",
            matches!(vm::Http::new(address).list().await, Err(vm::Error::Read(_))),
        ),
    ];
    let wrong = results.into_iter().filter(|(_, is_failure)| !is_failure);
    wrong.map(|(name, _)| name).collect()
}

#[gtest]
fn calls_of_services_whose_heads_are_cut_fail_and_are_counted() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    let calls = cuts().count();
    metrics::with_local_recorder(&recorder, || {
        runtime.block_on(async {
            for cut in cuts() {
                let address = spawn(0, cut, End::Close).await;
                let wrong = call_all(address).await;
                expect_that!(wrong, is_empty(), "{cut:?}");
            }
        });
    });
    let text = recorder.handle().render();
    for method in ["range", "txn", "watch"] {
        let line = format!("kv_failures_total{{method=\"{method}\",kind=\"unknown\"}}");
        expect_that!(text, contains_substring(line), "{text}");
    }
    expect_that!(
        text,
        contains_substring(format!("vm_failures_total {calls}"))
    );
}
