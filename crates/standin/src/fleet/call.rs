//! Calls of callers and the classification of their outcomes.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Collected, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde_json::Value;
use tokio::time::{Instant, timeout};

use super::operation::OperationKind;

/// HTTP client with a connection pool.
pub type Client = Pool<HttpConnector, Full<Bytes>>;

/// Timeout of a call; longer than the two minutes after which a router gives up.
const TIMEOUT: Duration = Duration::from_secs(130);

/// Outcome of a call as the caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The complete response to the request arrived.
    Complete,
    /// The response says that the request did not run, or the connection failed.
    NotRun,
    /// The response says that the request ran but its result is not available.
    Ran,
    /// The response says that the outcome is unknown, or it was interrupted.
    Unknown,
    /// The response ended without an error but is incomplete.
    Truncated,
    /// The response contains data of another request.
    Mismatched,
    /// The call timed out.
    TimedOut,
}

/// A call and its outcome.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// ID of the attempt.
    pub(crate) attempt_id: String,
    pub(crate) outcome: CallOutcome,
    /// Time to the first byte of the response body.
    pub(crate) time_to_first_byte: Option<Duration>,
    pub(crate) duration: Duration,
    /// Delay given by the `Retry-After` header.
    pub(crate) retry_after: Option<Duration>,
    /// Request ID and error, for findings.
    pub(crate) detail: String,
}

/// Creates a client.
#[must_use]
pub fn client() -> Client {
    let mut builder = Pool::builder(TokioExecutor::new());
    builder.pool_timer(TokioTimer::new()).build_http()
}

/// Sends a request and classifies the outcome.
pub(crate) async fn send(
    client: &Client,
    request: Request<Full<Bytes>>,
    attempt_id: String,
    kind: OperationKind,
) -> Call {
    let start = Instant::now();
    let mut call = Call {
        attempt_id,
        outcome: CallOutcome::TimedOut,
        time_to_first_byte: None,
        duration: TIMEOUT,
        retry_after: None,
        detail: String::new(),
    };
    let exchange = exchange(client, request, kind, start, &mut call);
    if let Ok(outcome) = timeout(TIMEOUT, exchange).await {
        call.outcome = outcome;
        call.duration = start.elapsed();
    }
    call
}

async fn exchange(
    client: &Client,
    request: Request<Full<Bytes>>,
    kind: OperationKind,
    start: Instant,
    call: &mut Call,
) -> CallOutcome {
    let response = match client.request(request).await {
        Ok(response) => response,
        Err(error) => {
            call.detail = format!("{error:?}");
            return if error.is_connect() {
                CallOutcome::NotRun
            } else {
                CallOutcome::Unknown
            };
        }
    };
    call.detail = header(&response, "x-request-id").unwrap_or_default();
    if response.status() != StatusCode::OK {
        let retry_after = header(&response, "retry-after").and_then(|text| text.parse().ok());
        call.retry_after = retry_after.map(Duration::from_secs);
        let outcome = header(&response, "x-outcome");
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map(Collected::to_bytes).unwrap_or_default();
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let code = &body["error"]["code"];
        call.detail = format!("{} {status} {outcome:?} {code}", call.detail);
        return match outcome.as_deref() {
            Some("not-run") => CallOutcome::NotRun,
            Some("ran") => CallOutcome::Ran,
            _ => CallOutcome::Unknown,
        };
    }
    let mut body = response.into_body();
    let Some(bytes) = read_body(&mut body, start, &mut call.time_to_first_byte).await else {
        call.detail += " interrupted";
        return CallOutcome::Unknown;
    };
    classify_body(&bytes, &call.attempt_id, kind)
}

fn header(response: &Response<Incoming>, name: &str) -> Option<String> {
    let value = response.headers().get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

/// Reads a body; returns `None` if it is interrupted.
async fn read_body(
    body: &mut Incoming,
    start: Instant,
    time_to_first_byte: &mut Option<Duration>,
) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        time_to_first_byte.get_or_insert_with(|| start.elapsed());
        bytes.extend_from_slice(&data);
    }
    Some(bytes)
}

/// Compares a body that ended without an error with the expected one.
#[must_use]
pub fn classify_body(bytes: &[u8], attempt_id: &str, kind: OperationKind) -> CallOutcome {
    let text = String::from_utf8_lossy(bytes);
    match kind {
        OperationKind::Booking => {
            let response: Value = serde_json::from_str(&text).unwrap_or_default();
            match response["op"].as_str() {
                Some(op) if op == attempt_id => CallOutcome::Complete,
                Some(_) => CallOutcome::Mismatched,
                None => CallOutcome::Truncated,
            }
        }
        OperationKind::Chat { tokens, streamed } => {
            let expected = (0..tokens).map(|token| format!("{attempt_id}:{token} "));
            let expected = expected.collect::<Vec<_>>().concat();
            let (actual, is_done) = if streamed {
                parse_events(&text)
            } else {
                let response: Value = serde_json::from_str(&text).unwrap_or_default();
                let content = response["choices"][0]["message"]["content"].as_str();
                (content.unwrap_or_default().to_owned(), true)
            };
            if actual == expected && is_done {
                return CallOutcome::Complete;
            }
            if expected.starts_with(&actual) {
                CallOutcome::Truncated
            } else {
                CallOutcome::Mismatched
            }
        }
    }
}

/// Returns the text of server-sent events and whether they end with `[DONE]`.
fn parse_events(text: &str) -> (String, bool) {
    let mut content = String::new();
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            return (content, true);
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        let delta = event["choices"][0]["delta"]["content"].as_str();
        content.push_str(delta.unwrap_or_default());
    }
    (content, false)
}
