//! Calls to whichever endpoint of the service answers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use metrics::counter;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::HttpError;
use crate::http::{self, Failure, Http};
use crate::kv::etcd::method::Method;
use crate::kv::{Error, Options};

/// Codes of gRPC with which the service says that it did not carry a call out.
const REFUSED: [u32; 6] = [3, 5, 7, 8, 9, 16];

/// Has an endpoint that lost its cluster end the call instead of staying silent.
const NEEDS_LEADER: HeaderName = HeaderName::from_static("grpc-metadata-hasleader");

/// The code of gRPC for a revision outside of what is held.
const OUT_OF_RANGE: u32 = 11;

/// The service's endpoints; the one that last answered is asked first.
#[derive(Debug)]
pub(crate) struct Link {
    http: Http,
    endpoints: Vec<SocketAddr>,
    preferred: AtomicUsize,
    options: Options,
}

/// An error answer of the gateway.
#[derive(Deserialize)]
struct Fault {
    #[serde(default)]
    code: u32,
    #[serde(default)]
    message: String,
}

impl Link {
    pub(crate) fn new(endpoints: Vec<SocketAddr>, options: Options) -> Self {
        Self {
            http: Http::new(options.connect_timeout_ms),
            endpoints,
            preferred: AtomicUsize::new(0),
            options,
        }
    }

    /// When a call that begins now has to have ended.
    pub(crate) fn deadline(&self) -> Instant {
        Instant::now() + Duration::from_millis(self.options.call_timeout_ms)
    }

    /// Makes a call and reads its whole answer.
    pub(crate) async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        body: Bytes,
        deadline: Instant,
    ) -> Result<T, Error> {
        let answered = self.send(method, body, deadline).await?;
        let whole = http::read_body(answered, self.options.max_response_bytes, deadline).await;
        let whole = whole.map_err(|failure| self.fail(method, Error::Unknown(failure.cause)))?;
        serde_json::from_slice(&whole).map_err(|error| {
            let cause = HttpError::Malformed(error.to_string());
            self.fail(method, Error::Unknown(cause))
        })
    }

    /// Counts a failed call; the next one begins at another endpoint.
    pub(crate) fn fail(&self, method: Method, error: Error) -> Error {
        let kind = error.kind();
        counter!("kv_failures_total", "method" => method.name(), "kind" => kind).increment(1);
        if matches!(error, Error::Unsent(_) | Error::Unknown(_)) {
            self.preferred.fetch_add(1, Ordering::Relaxed);
        }
        error
    }

    /// Makes a call and returns its successful answer unread.
    pub(crate) async fn send(
        &self,
        method: Method,
        body: Bytes,
        deadline: Instant,
    ) -> Result<Response<Incoming>, Error> {
        let first = self.preferred.load(Ordering::Relaxed);
        let count = self.endpoints.len();
        let mut last = Error::Unsent(HttpError::Connect("no endpoint".to_owned()));
        for tried in 0..count {
            let index = (first + tried) % count;
            let until = if method.is_idempotent() {
                share(deadline, count - tried)
            } else {
                deadline
            };
            counter!("kv_calls_total", "method" => method.name()).increment(1);
            let sent = self.attempt(method, index, body.clone(), until).await;
            last = match sent {
                Ok(answer) => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return Ok(answer);
                }
                Err(error) => self.fail(method, error),
            };
            if !worth_another(method, &last) || Instant::now() >= deadline {
                break;
            }
        }
        Err(last)
    }

    async fn attempt(
        &self,
        method: Method,
        index: usize,
        body: Bytes,
        deadline: Instant,
    ) -> Result<Response<Incoming>, Error> {
        let endpoint = self.endpoints[index];
        let mut request = http::request(hyper::Method::POST, endpoint, method.path(), body);
        if method.needs_leader() {
            request
                .headers_mut()
                .insert(NEEDS_LEADER, HeaderValue::from_static("true"));
        }
        let sent = self.http.send(request, deadline).await;
        let answer = sent.map_err(classify)?;
        let status = answer.status();
        if status == StatusCode::OK {
            return Ok(answer);
        }
        let body = http::read_body(answer, self.options.max_response_bytes, deadline)
            .await
            .map_err(classify)?;
        Err(refused(status, &body))
    }
}

/// Whether another endpoint may be asked after an error.
const fn worth_another(method: Method, error: &Error) -> bool {
    match error {
        Error::Unsent(_) => true,
        Error::Unknown(_) => method.is_idempotent(),
        _ => false,
    }
}

/// An equal part of the time left, so that one silent endpoint leaves time for others.
fn share(deadline: Instant, endpoints_left: usize) -> Instant {
    let now = Instant::now();
    let left = deadline.saturating_duration_since(now);
    let parts = u32::try_from(endpoints_left).unwrap_or(u32::MAX);
    now + left / parts.max(1)
}

fn classify(failure: Failure) -> Error {
    if failure.sent {
        return Error::Unknown(failure.cause);
    }
    Error::Unsent(failure.cause)
}

/// Reads an answer that is not a success.
fn refused(status: StatusCode, body: &[u8]) -> Error {
    let cause = http::status_error(status, body);
    let Ok(fault) = serde_json::from_slice::<Fault>(body) else {
        return Error::Unknown(cause);
    };
    if fault.code == OUT_OF_RANGE && fault.message.contains("compacted") {
        return Error::Compacted(0);
    }
    if REFUSED.contains(&fault.code) {
        return Error::Refused(cause);
    }
    Error::Unknown(cause)
}
