//! One call of a caller, judged by what the caller holds at its end.

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

use super::op::OperationKind;

/// A client that keeps connections, as callers and operators use it.
pub type Client = Pool<HttpConnector, Full<Bytes>>;

/// No call takes longer, since a router gives up after two minutes; one that
/// does has been lost.
const LONGEST: Duration = Duration::from_secs(130);

/// What a caller holds at the end of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The whole answer to its own request.
    Complete,
    /// Told, or sure itself, that the request did not run.
    NotRun,
    /// Told that it ran and that the answer is not kept.
    Ran,
    /// Told that nothing is known, or cut off.
    Unknown,
    /// Something that passes for a whole answer and is none.
    Truncated,
    /// Something of another's answer.
    Mismatched,
    /// Nothing, until it stopped waiting.
    TimedOut,
}

/// A call and its end.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Identity of the attempt.
    pub(crate) attempt: String,
    pub(crate) end: CallOutcome,
    /// Time to the first byte of the answer's body.
    pub(crate) first: Option<Duration>,
    pub(crate) took: Duration,
    /// When to come back, as told.
    pub(crate) retry: Option<Duration>,
    /// The fleet's name of the request, or what went wrong.
    pub(crate) note: String,
}

/// Opens a client.
#[must_use]
pub fn client() -> Client {
    let mut builder = Pool::builder(TokioExecutor::new());
    builder.pool_timer(TokioTimer::new()).build_http()
}

/// Makes a call.
pub(crate) async fn call(
    client: &Client,
    request: Request<Full<Bytes>>,
    attempt: String,
    work: OperationKind,
) -> Call {
    let sent = Instant::now();
    let mut call = Call {
        attempt,
        end: CallOutcome::TimedOut,
        first: None,
        took: LONGEST,
        retry: None,
        note: String::new(),
    };
    let making = make(client, request, work, sent, &mut call);
    if let Ok(end) = timeout(LONGEST, making).await {
        call.end = end;
        call.took = sent.elapsed();
    }
    call
}

async fn make(
    client: &Client,
    request: Request<Full<Bytes>>,
    work: OperationKind,
    sent: Instant,
    call: &mut Call,
) -> CallOutcome {
    let answer = match client.request(request).await {
        Ok(answer) => answer,
        Err(error) => {
            call.note = format!("{error:?}");
            let unsent = error.is_connect();
            return if unsent {
                CallOutcome::NotRun
            } else {
                CallOutcome::Unknown
            };
        }
    };
    call.note = header(&answer, "x-request-id").unwrap_or_default();
    if answer.status() != StatusCode::OK {
        let retry = header(&answer, "retry-after").and_then(|text| text.parse().ok());
        call.retry = retry.map(Duration::from_secs);
        let outcome = header(&answer, "x-outcome");
        let status = answer.status();
        let body = answer.into_body().collect().await;
        let body = body.map(Collected::to_bytes).unwrap_or_default();
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let code = &body["error"]["code"];
        call.note = format!("{} {status} {outcome:?} {code}", call.note);
        return match outcome.as_deref() {
            Some("not-run") => CallOutcome::NotRun,
            Some("ran") => CallOutcome::Ran,
            _ => CallOutcome::Unknown,
        };
    }
    let mut body = answer.into_body();
    let Some(bytes) = read(&mut body, sent, &mut call.first).await else {
        call.note += " broken off";
        return CallOutcome::Unknown;
    };
    classify_body(&bytes, &call.attempt, work)
}

fn header(answer: &Response<Incoming>, name: &str) -> Option<String> {
    let value = answer.headers().get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

/// Reads a body; `None` when it breaks off.
async fn read(body: &mut Incoming, sent: Instant, first: &mut Option<Duration>) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        first.get_or_insert_with(|| sent.elapsed());
        bytes.extend_from_slice(&data);
    }
    Some(bytes)
}

/// Compares a body that ended well with the answer that is due.
#[must_use]
pub fn classify_body(bytes: &[u8], attempt: &str, work: OperationKind) -> CallOutcome {
    let text = String::from_utf8_lossy(bytes);
    match work {
        OperationKind::Booking => {
            let answer: Value = serde_json::from_str(&text).unwrap_or_default();
            match answer["op"].as_str() {
                Some(op) if op == attempt => CallOutcome::Complete,
                Some(_) => CallOutcome::Mismatched,
                None => CallOutcome::Truncated,
            }
        }
        OperationKind::Chat { tokens, streamed } => {
            let due = (0..tokens).map(|token| format!("{attempt}:{token} "));
            let due = due.collect::<Vec<_>>().concat();
            let (held, done) = if streamed {
                events(&text)
            } else {
                let answer: Value = serde_json::from_str(&text).unwrap_or_default();
                let content = answer["choices"][0]["message"]["content"].as_str();
                (content.unwrap_or_default().to_owned(), true)
            };
            if held == due && done {
                return CallOutcome::Complete;
            }
            if due.starts_with(&held) {
                CallOutcome::Truncated
            } else {
                CallOutcome::Mismatched
            }
        }
    }
}

/// The text of server-sent events, and whether the last one says that it is all.
fn events(text: &str) -> (String, bool) {
    let mut held = String::new();
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            return (held, true);
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        let content = event["choices"][0]["delta"]["content"].as_str();
        held.push_str(content.unwrap_or_default());
    }
    (held, false)
}
