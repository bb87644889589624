//! Callers: they keep connections as long as these are open, and note what came.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::caller::{RequestSpec, is_sealed, keep_alive_request};
use crate::run::Run;

/// Time that a caller waits for an answer, and how much longer it listens for a late one.
pub(crate) const PATIENCE: Duration = Duration::from_secs(3);
const LISTEN: Duration = Duration::from_millis(1_500);

/// Longest time to open a connection.
const CONNECT: Duration = Duration::from_secs(1);

/// Longest pause of a caller between requests, in milliseconds.
const PAUSE_MS: u64 = 60;

/// Kinds of requests, by their path.
pub(crate) const PATHS: [&str; 6] = ["once", "any", "keyed", "extra", "stream", "resume"];

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// With a whole answer.
    Whole,
    /// With an answer's head and not its end.
    Partial,
    /// Without an answer.
    Cut(String),
    /// Not within the caller's patience.
    Silent,
}

/// A request and what its caller got.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) id: String,
    pub(crate) kind: &'static str,
    pub(crate) key: Option<String>,
    pub(crate) gateway: usize,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    pub(crate) status: u16,
    pub(crate) is_sealed: bool,
    pub(crate) body: String,
    pub(crate) end: End,
}

impl Record {
    pub(crate) fn is_served(&self) -> bool {
        self.status == 200 && self.end == End::Whole
    }
}

static NUMBER: AtomicU64 = AtomicU64::new(0);

/// Sends requests one after the other until the scene tells callers to stop.
pub(crate) async fn call(run: Arc<Run>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut open: Option<(usize, SendRequest<Full<Bytes>>)> = None;
    while !run.is_finished() {
        sleep(Duration::from_millis(rng.random_range(1..PAUSE_MS))).await;
        open = open.filter(|(_, sender)| !sender.is_closed() && rng.random_range(0..12) > 0);
        if open.is_none() {
            let gateway = run.pick_gateway(rng.random_range(0..64));
            let sender = connect(run.gateways[gateway].callers).await;
            open = sender.map(|sender| (gateway, sender));
        }
        let Some((gateway, sender)) = &mut open else {
            continue;
        };
        let kind = PATHS[rng.random_range(0..PATHS.len())];
        let key = (kind == "keyed").then(|| run.operator.pick_key(rng.random_range(0..64)));
        let (record, keeps) = ask(sender, *gateway, kind, key).await;
        run.records.lock().push(record);
        if !keeps {
            open = None;
        }
    }
}

async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = timeout(CONNECT, TcpStream::connect(address)).await.ok()?;
    let stream = stream.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move { drop(connection.await) });
    Some(sender)
}

/// Sends one request; also tells whether the connection may be used again.
async fn ask(
    sender: &mut SendRequest<Full<Bytes>>,
    gateway: usize,
    kind: &'static str,
    key: Option<String>,
) -> (Record, bool) {
    let id = format!("q{}", NUMBER.fetch_add(1, Ordering::Relaxed));
    let timeout_ms = u64::try_from(PATIENCE.as_millis()).unwrap_or(0);
    let request = keep_alive_request(&RequestSpec {
        id: &id,
        path: &format!("/{kind}/{id}"),
        key: key.as_deref(),
        is_prompt: matches!(kind, "stream" | "resume"),
        timeout_ms,
    });
    let sent = Instant::now();
    let mut record = Record {
        id,
        kind,
        key,
        gateway,
        sent,
        ended: sent,
        status: 0,
        is_sealed: false,
        body: String::new(),
        end: End::Silent,
    };
    if sender.ready().await.is_err() {
        record.end = End::Cut("closed before it was sent".to_owned());
        return (record, false);
    }
    let read = timeout(PATIENCE + LISTEN, read(sender, request, &mut record)).await;
    let keeps = read.unwrap_or(false);
    record.ended = Instant::now();
    (record, keeps)
}

async fn read(
    sender: &mut SendRequest<Full<Bytes>>,
    request: hyper::Request<Full<Bytes>>,
    record: &mut Record,
) -> bool {
    let response = match sender.send_request(request).await {
        Ok(response) => response,
        Err(error) => {
            record.end = End::Cut(error.to_string());
            return false;
        }
    };
    record.status = response.status().as_u16();
    record.is_sealed = is_sealed(response.headers(), &record.id);
    let closes = response.headers().get("connection");
    let closes = closes.is_some_and(|value| value.as_bytes() == b"close");
    let mut body = response.into_body();
    record.end = End::Partial;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        let data = frame.into_data().unwrap_or_default();
        record.body.push_str(&String::from_utf8_lossy(&data));
    }
    record.end = End::Whole;
    !closes
}
