//! Calls with failover between the endpoints of the service.

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

/// gRPC status codes of calls that the service did not execute.
const REFUSED_CODES: [u32; 6] = [3, 5, 7, 8, 9, 16];

/// Makes an endpoint without a leader end the call instead of keeping it open.
const REQUIRE_LEADER: HeaderName = HeaderName::from_static("grpc-metadata-hasleader");

/// gRPC status code for a revision that is not available.
const OUT_OF_RANGE_CODE: u32 = 11;

/// Endpoints of the service. The last one that responded is tried first.
#[derive(Debug)]
pub(crate) struct Transport {
    http: Http,
    endpoints: Vec<SocketAddr>,
    preferred: AtomicUsize,
    options: Options,
}

/// Error response of the gateway.
#[derive(Deserialize)]
struct ErrorBody {
    #[serde(default)]
    code: u32,
    #[serde(default)]
    message: String,
}

impl Transport {
    pub(crate) fn new(endpoints: Vec<SocketAddr>, options: Options) -> Self {
        Self {
            http: Http::new(options.connect_timeout_ms),
            endpoints,
            preferred: AtomicUsize::new(0),
            options,
        }
    }

    /// Returns the deadline of a call that starts now.
    pub(crate) fn deadline(&self) -> Instant {
        Instant::now() + Duration::from_millis(self.options.call_timeout_ms)
    }

    /// Makes a call and decodes its response.
    pub(crate) async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        body: Bytes,
        deadline: Instant,
    ) -> Result<T, Error> {
        let response = self.send(method, body, deadline).await?;
        let body = http::read_body(response, self.options.max_response_bytes, deadline).await;
        let body =
            body.map_err(|failure| self.record_failure(method, Error::Unknown(failure.cause)))?;
        serde_json::from_slice(&body).map_err(|error| {
            let cause = HttpError::Malformed(error.to_string());
            self.record_failure(method, Error::Unknown(cause))
        })
    }

    /// Counts a failed call. Unless the service refused it, the next call starts at another endpoint.
    pub(crate) fn record_failure(&self, method: Method, error: Error) -> Error {
        let kind = error.kind();
        counter!("kv_failures_total", "method" => method.name(), "kind" => kind).increment(1);
        if matches!(error, Error::Unsent(_) | Error::Unknown(_)) {
            self.preferred.fetch_add(1, Ordering::Relaxed);
        }
        error
    }

    /// Makes a call and returns its successful response with the body unread.
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
            let attempt_deadline = if method.is_idempotent() {
                split_deadline(deadline, count - tried)
            } else {
                deadline
            };
            counter!("kv_calls_total", "method" => method.name()).increment(1);
            let result = self
                .attempt(method, index, body.clone(), attempt_deadline)
                .await;
            last = match result {
                Ok(response) => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return Ok(response);
                }
                Err(error) => self.record_failure(method, error),
            };
            if !can_retry(method, &last) || Instant::now() >= deadline {
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
                .insert(REQUIRE_LEADER, HeaderValue::from_static("true"));
        }
        let result = if method.is_idempotent() {
            self.http.send_idempotent(request, deadline).await
        } else {
            self.http.send(request, deadline).await
        };
        let response = result.map_err(classify)?;
        let status = response.status();
        if status == StatusCode::OK {
            return Ok(response);
        }
        let body = http::read_body(response, self.options.max_response_bytes, deadline)
            .await
            .map_err(classify)?;
        Err(parse_error(status, &body))
    }
}

/// Whether a call may be retried at another endpoint after an error.
const fn can_retry(method: Method, error: &Error) -> bool {
    match error {
        Error::Unsent(_) => true,
        Error::Unknown(_) => method.is_idempotent(),
        _ => false,
    }
}

/// Splits the remaining time evenly, so that an unresponsive endpoint leaves time for the others.
fn split_deadline(deadline: Instant, endpoints_remaining: usize) -> Instant {
    let now = Instant::now();
    let remaining = deadline.saturating_duration_since(now);
    let parts = u32::try_from(endpoints_remaining).unwrap_or(u32::MAX);
    now + remaining / parts.max(1)
}

fn classify(failure: Failure) -> Error {
    if failure.sent {
        return Error::Unknown(failure.cause);
    }
    Error::Unsent(failure.cause)
}

/// Maps a response that is not a success to an error.
fn parse_error(status: StatusCode, body: &[u8]) -> Error {
    let cause = http::status_error(status, body);
    let Ok(error) = serde_json::from_slice::<ErrorBody>(body) else {
        return Error::Unknown(cause);
    };
    if error.code == OUT_OF_RANGE_CODE && error.message.contains("compacted") {
        return Error::Compacted(0);
    }
    if REFUSED_CODES.contains(&error.code) {
        return Error::Refused(cause);
    }
    Error::Unknown(cause)
}
