//! HTTP calls with deadlines.

use std::error::Error as _;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::timeout_at;

use crate::HttpError;

/// Longest text of an error answer that is kept, in characters.
const MESSAGE_CHARS: usize = 200;

/// Time after which an unused connection is closed, in milliseconds.
const IDLE_MS: u64 = 30_000;

/// Time without traffic after which the system probes a connection, in milliseconds.
const KEEPALIVE_MS: u64 = 10_000;

/// Why a call failed.
#[derive(Debug)]
pub struct Failure {
    /// Whether the request may have reached the service.
    pub sent: bool,
    /// What went wrong.
    pub cause: HttpError,
}

impl Failure {
    const fn before_sending(text: String) -> Self {
        Self {
            sent: false,
            cause: HttpError::Connect(text),
        }
    }

    pub(crate) const fn after_sending(cause: HttpError) -> Self {
        Self { sent: true, cause }
    }
}

/// An HTTP/1.1 client with a pool of connections.
#[derive(Debug)]
pub struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Http {
    /// Opens a client that gives up connecting after `connect_timeout_ms` milliseconds.
    #[must_use]
    pub fn new(connect_timeout_ms: u64) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(connect_timeout_ms)));
        connector.set_keepalive(Some(Duration::from_millis(KEEPALIVE_MS)));
        connector.set_keepalive_interval(Some(Duration::from_millis(KEEPALIVE_MS)));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_millis(IDLE_MS))
            .build(connector);
        Self { client }
    }

    /// Sends a request and returns the answer's head and unread body.
    ///
    /// # Errors
    ///
    /// [`Failure`] when no answer has begun by the deadline.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, Failure> {
        let Ok(answer) = timeout_at(deadline.into(), self.client.request(request)).await else {
            return Err(Failure::after_sending(HttpError::TimedOut));
        };
        answer.map_err(|error| {
            let text = error.source().map_or(error.to_string(), chain);
            if error.is_connect() {
                return Failure::before_sending(text);
            }
            Failure::after_sending(HttpError::Disconnected(text))
        })
    }

    /// Sends a request and returns the whole body of a successful answer.
    ///
    /// # Errors
    ///
    /// [`Failure`] when no whole answer has come by the deadline, or it is no success.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: usize,
        deadline: Instant,
    ) -> Result<Bytes, Failure> {
        let answer = self.send(request, deadline).await?;
        let status = answer.status();
        let whole = read_body(answer, limit, deadline).await?;
        if status == StatusCode::OK {
            return Ok(whole);
        }
        Err(Failure::after_sending(status_error(status, &whole)))
    }
}

/// A request to an endpoint.
///
/// # Panics
///
/// When `path` is no path of a URI.
#[must_use]
pub fn request(
    method: Method,
    endpoint: SocketAddr,
    path: &str,
    body: Bytes,
) -> Request<Full<Bytes>> {
    let uri = format!("http://{endpoint}{path}");
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = uri.parse().expect("an address and a path make a URI");
    let json = HeaderValue::from_static("application/json");
    request.headers_mut().insert(CONTENT_TYPE, json);
    request
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// [`Failure`] when the body does not end by the deadline or is larger.
pub async fn read_body(
    answer: Response<Incoming>,
    limit: usize,
    deadline: Instant,
) -> Result<Bytes, Failure> {
    let body = Limited::new(answer.into_body(), limit);
    let Ok(collected) = timeout_at(deadline.into(), body.collect()).await else {
        return Err(Failure::after_sending(HttpError::TimedOut));
    };
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(Failure::after_sending(HttpError::Disconnected(chain(
            error.as_ref(),
        )))),
    }
}

/// Describes an answer that is not a success.
#[must_use]
pub fn status_error(status: StatusCode, body: &[u8]) -> HttpError {
    let text = String::from_utf8_lossy(body);
    HttpError::Status {
        status: status.as_u16(),
        message: text.trim().chars().take(MESSAGE_CHARS).collect(),
    }
}

/// An error with those that caused it.
fn chain(error: &(dyn std::error::Error + 'static)) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(error) = source {
        text = format!("{text}: {error}");
        source = error.source();
    }
    text
}
