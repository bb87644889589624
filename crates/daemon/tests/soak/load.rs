//! Callers that send requests over persistent connections and record the responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Version;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HeaderValue;
use hyper_util::rt::TokioIo;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::answer::BAD_PART;
use crate::caller::{RequestSpec, Resumption, is_sealed, keep_alive_request};
use crate::run::Run;
use crate::subject::Subject;

/// Deadline of a request, and how much longer a caller waits for a late response.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
const LATE_RESPONSE_TIME: Duration = Duration::from_millis(1_500);

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Upper bound of the pause between two requests of a caller, in milliseconds.
const MAX_PAUSE_MS: u64 = 60;

/// Time before the first request that crashes servers, and between two of them.
const BAD_START: Duration = Duration::from_millis(1_500);
const BAD_PAUSE: Duration = Duration::from_millis(300);

/// Time for which callers keep streams that they left before they resume them at gateways that may
/// have been lost meanwhile, in milliseconds.
const MAX_KEPT_MS: u64 = 9_000;

/// Probability that such a caller begins a stream that it may resume rather than any request.
const STREAM_PROBABILITY: f64 = 0.5;

/// Kinds of requests, each with a route of the same name. The last two are streams.
pub(crate) const KINDS: [&str; 6] = ["once", "any", "keyed", "extra", "stream", "resume"];
const STREAM_KINDS: usize = 2;

/// Probability that a caller speaks HTTP/1.0, or closes its connection after the answer, where some
/// do.
const OLD_PROBABILITY: f64 = 0.2;
const CLOSE_PROBABILITY: f64 = 0.2;

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Completion {
    /// The response was complete.
    Complete,
    /// The response ended after its head, before its end.
    Truncated,
    /// The connection failed without a response.
    Failed(String),
    /// No response arrived in time.
    TimedOut,
    /// The caller left before the end.
    Left,
}

/// A request and its response, as observed by the caller.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) id: String,
    /// Attempt that brought the first event of the stream, if this one goes on with it.
    pub(crate) first: Option<String>,
    /// Last event that the caller had before.
    pub(crate) after: u64,
    /// Whether its prompt has the part that crashes servers.
    pub(crate) is_bad: bool,
    /// Number of servers that the stream could go on at, if it was resumed.
    pub(crate) serving: usize,
    pub(crate) kind: &'static str,
    pub(crate) key: Option<String>,
    pub(crate) gateway: usize,
    /// Whether it has no chunks, so that its answer ends with its connection.
    pub(crate) is_old: bool,
    pub(crate) sent_at: Instant,
    pub(crate) ended_at: Instant,
    pub(crate) status: u16,
    pub(crate) is_sealed: bool,
    pub(crate) body: String,
    pub(crate) completion: Completion,
}

impl Call {
    pub(crate) fn is_served(&self) -> bool {
        self.status == 200 && self.completion == Completion::Complete
    }

    /// Whether the caller got a stream's first event, or its end if there was none left.
    pub(crate) fn has_begun(&self) -> bool {
        self.status == 200 && (self.is_served() || !self.event_ids().is_empty())
    }

    /// IDs of the complete events of a stream.
    pub(crate) fn event_ids(&self) -> Vec<u64> {
        let events = self.body.split_inclusive("\n\n");
        let events = events.filter(|event| event.ends_with("\n\n"));
        let ids = events.filter_map(|event| event.lines().next()?.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }

    /// Names of the servers that sent the complete events of a stream, in order.
    pub(crate) fn event_servers(&self) -> impl Iterator<Item = &str> {
        let events = self.body.split_inclusive("\n\n");
        let events = events.filter(|event| event.ends_with("\n\n"));
        events.filter_map(|event| event.lines().nth(1)?.strip_prefix("event: "))
    }

    /// The stream with which the caller goes on after this attempt, if it may and has received a part.
    fn resumption(&self) -> Option<(String, u64)> {
        let is_broken = self.kind == "resume" && self.status == 200 && !self.is_served();
        let last = self.event_ids().last().copied().filter(|_| is_broken)?;
        let first = self.first.as_ref().unwrap_or(&self.id);
        Some((first.clone(), last))
    }
}

/// Least ID of the last parts of prompts, each of which is of one request only.
const LAST_PARTS: u64 = 1 << 32;

/// What a caller sends.
#[derive(Debug, Default)]
struct Wish {
    kind: &'static str,
    key: Option<String>,
    /// First attempt and last event of the stream that is resumed.
    resumed: Option<(String, u64)>,
    /// Whether its prompt has the part that crashes servers.
    is_bad: bool,
    /// Number of events after which the caller leaves.
    leaves_after: Option<usize>,
    /// Whether it is sent without chunks, and whether its connection is closed after the answer.
    is_old: bool,
    is_last: bool,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(0);

/// Sends one request after another until the run is finished.
pub(crate) async fn run_caller(run: Arc<Run>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut connection: Option<(usize, SendRequest<Full<Bytes>>)> = None;
    let mut kept: Vec<(Instant, (String, u64))> = Vec::new();
    while !run.is_finished() {
        let pause_ms = rng.random_range(1..MAX_PAUSE_MS);
        if run.subject != Subject::Outages {
            sleep(Duration::from_millis(pause_ms)).await;
        }
        connection =
            connection.filter(|(_, sender)| !sender.is_closed() && rng.random_range(0..12) > 0);
        if connection.is_none() {
            let gateway = run.pick_gateway(rng.random_range(0..64));
            let sender = connect(run.gateways[gateway].callers).await;
            connection = sender.map(|sender| (gateway, sender));
        }
        let Some((gateway, sender)) = &mut connection else {
            sleep(Duration::from_millis(1)).await;
            continue;
        };
        let due = kept.iter().position(|(due, _)| *due <= Instant::now());
        let resumed = due.map(|index| kept.swap_remove(index).1);
        let has_losses = run.subject == Subject::Losses;
        let kind = match resumed {
            Some(_) => "resume",
            None if has_losses && rng.random_bool(STREAM_PROBABILITY) => "resume",
            None if run.subject == Subject::Processes => {
                KINDS[KINDS.len() - 1 - rng.random_range(0..STREAM_KINDS)]
            }
            None => KINDS[rng.random_range(0..KINDS.len())],
        };
        let key = (kind == "keyed").then(|| run.operator.pick_key(rng.random_range(0..64)));
        let leaves = run.subject.has_leaving_callers() && kind == "resume" && rng.random_bool(0.5);
        let is_mixed = run.subject == Subject::Processes;
        let wish = Wish {
            kind,
            key,
            resumed,
            is_bad: false,
            leaves_after: leaves.then_some(2),
            is_old: is_mixed && rng.random_bool(OLD_PROBABILITY),
            is_last: is_mixed && rng.random_bool(CLOSE_PROBABILITY),
        };
        let (mut call, is_reusable) = send(sender, *gateway, wish).await;
        call.serving = run.serving_for(&call);
        if let Some(resumption) = call.resumption() {
            let kept_ms = if has_losses {
                rng.random_range(0..MAX_KEPT_MS)
            } else {
                0
            };
            let due = call.ended_at + Duration::from_millis(kept_ms);
            kept.push((due, resumption));
        }
        run.calls.lock().push(call);
        if !is_reusable {
            connection = None;
        }
    }
}

/// Sends prompts with a part that crashes servers, at each gateway and no two alike, until the run
/// is finished.
pub(crate) async fn run_bad_caller(run: Arc<Run>) {
    sleep(BAD_START).await;
    let mut draw = 0;
    while !run.is_finished() {
        sleep(BAD_PAUSE).await;
        draw += 1;
        let gateway = run.pick_gateway(draw);
        let kind = ["stream", "resume"][draw % 2];
        let run = Arc::clone(&run);
        tokio::spawn(async move {
            let Some(mut sender) = connect(run.gateways[gateway].callers).await else {
                return;
            };
            let wish = Wish {
                kind,
                is_bad: true,
                ..Wish::default()
            };
            let (call, _) = send(&mut sender, gateway, wish).await;
            run.calls.lock().push(call);
        });
    }
    // The last calls are recorded.
    sleep(RESPONSE_TIMEOUT + LATE_RESPONSE_TIME).await;
}

async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?;
    let stream = stream.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move { drop(connection.await) });
    Some(sender)
}

/// Sends a request. Also returns whether the connection can be reused.
async fn send(sender: &mut SendRequest<Full<Bytes>>, gateway: usize, wish: Wish) -> (Call, bool) {
    let Wish {
        kind,
        key,
        resumed,
        is_bad,
        leaves_after,
        is_old,
        is_last,
    } = wish;
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    let id = format!("q{number}");
    let timeout_ms = u64::try_from(RESPONSE_TIMEOUT.as_millis()).unwrap_or(0);
    let resumption = resumed.as_ref().map(|(first, after)| Resumption {
        first,
        after: *after,
    });
    let mut request = keep_alive_request(&RequestSpec {
        id: &id,
        path: &format!("/{kind}/{id}"),
        key: key.as_deref(),
        is_prompt: matches!(kind, "stream" | "resume"),
        timeout_ms,
        resumption,
    });
    if is_bad {
        let value = format!("1f:100,{BAD_PART}:100,{:x}:100", LAST_PARTS + number);
        let value = value.parse().expect("a header value");
        let headers = request.headers_mut();
        headers.insert("mulberryyoke-prompt-prefix", value);
    }
    if is_old {
        *request.version_mut() = Version::HTTP_10;
    }
    if is_old || is_last {
        let close = HeaderValue::from_static("close");
        request.headers_mut().insert("connection", close);
    }
    let sent_at = Instant::now();
    let (first, after) = resumed.unzip();
    let mut call = Call {
        id,
        first,
        after: after.unwrap_or(0),
        is_bad,
        serving: 0,
        kind,
        key,
        gateway,
        is_old,
        sent_at,
        ended_at: sent_at,
        status: 0,
        is_sealed: false,
        body: String::new(),
        completion: Completion::TimedOut,
    };
    if sender.ready().await.is_err() {
        call.completion =
            Completion::Failed("connection closed before the request was sent".to_owned());
        return (call, false);
    }
    let timeout = timeout(
        RESPONSE_TIMEOUT + LATE_RESPONSE_TIME,
        receive(sender, request, &mut call, leaves_after),
    );
    let is_reusable = timeout.await.unwrap_or(false);
    call.ended_at = Instant::now();
    (call, is_reusable)
}

/// Sends a request and records its response. Returns whether the connection can be reused.
async fn receive(
    sender: &mut SendRequest<Full<Bytes>>,
    request: hyper::Request<Full<Bytes>>,
    call: &mut Call,
    leaves_after: Option<usize>,
) -> bool {
    let response = match sender.send_request(request).await {
        Ok(response) => response,
        Err(error) => {
            call.completion = Completion::Failed(error.to_string());
            return false;
        }
    };
    call.status = response.status().as_u16();
    call.is_sealed = is_sealed(response.headers(), &call.id);
    let header = response.headers().get("connection");
    let must_close = header.is_some_and(|value| value.as_bytes() == b"close");
    let mut body = response.into_body();
    call.completion = Completion::Truncated;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        let data = frame.into_data().unwrap_or_default();
        call.body.push_str(&String::from_utf8_lossy(&data));
        if leaves_after.is_some_and(|events| call.event_ids().len() >= events) {
            call.completion = Completion::Left;
            return false;
        }
    }
    call.completion = Completion::Complete;
    !(must_close || call.is_old)
}
