//! HTTP calls with deadlines.

use std::error::Error as _;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::{sleep_until, timeout_at};

use crate::{HttpError, Informational};

/// Maximum length of an error message taken from a response body, in characters.
const MAX_MESSAGE_CHARS: usize = 200;

/// Idle timeout of pooled connections, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 30_000;

/// Idle time before TCP keepalive probes and interval between them, in milliseconds.
const KEEPALIVE_INTERVAL_MS: u64 = 10_000;

/// Why a call failed.
#[derive(Debug)]
pub struct Failure {
    /// Whether the request may have reached the server.
    pub sent: bool,
    /// The error.
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

/// HTTP/1.1 client with a connection pool.
#[derive(Debug)]
pub struct Http {
    /// Reuses idle connections.
    pooled: Client<HttpConnector, Full<Bytes>>,
    /// Opens a connection per request.
    unpooled: Client<HttpConnector, Full<Bytes>>,
}

impl Http {
    /// Creates a client with a connect timeout in milliseconds.
    #[must_use]
    pub fn new(connect_timeout_ms: u64) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(connect_timeout_ms)));
        connector.set_keepalive(Some(Duration::from_millis(KEEPALIVE_INTERVAL_MS)));
        connector.set_keepalive_interval(Some(Duration::from_millis(KEEPALIVE_INTERVAL_MS)));
        let pooled = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS))
            .build(connector.clone());
        let unpooled = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build(connector);
        Self { pooled, unpooled }
    }

    /// Sends a request and returns the response with its body unread.
    ///
    /// # Errors
    ///
    /// [`Failure`] when no response starts before the deadline.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, Failure> {
        send(&self.pooled, request, deadline).await
    }

    /// Sends a request that may be repeated and returns the response with its body unread. If the
    /// connection is lost before a response, the request is sent once more on a new connection:
    /// the server may have been closing a pooled one.
    ///
    /// # Errors
    ///
    /// [`Failure`] when no response starts before the deadline.
    pub async fn send_idempotent(
        &self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, Failure> {
        let result = send(&self.pooled, request.clone(), deadline).await;
        match result {
            Err(Failure {
                cause: HttpError::Disconnected(_),
                ..
            }) => send(&self.unpooled, request, deadline).await,
            _ => result,
        }
    }

    /// Sends a request and returns the body of a response with status 200.
    ///
    /// # Errors
    ///
    /// [`Failure`] when the response is incomplete at the deadline or has another status.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: usize,
        deadline: Instant,
    ) -> Result<Bytes, Failure> {
        let response = self.send(request, deadline).await?;
        let status = response.status();
        let body = read_body(response, limit, deadline).await?;
        if status == StatusCode::OK {
            return Ok(body);
        }
        Err(Failure::after_sending(status_error(status, &body)))
    }
}

async fn send(
    client: &Client<HttpConnector, Full<Bytes>>,
    mut request: Request<Full<Bytes>>,
    deadline: Instant,
) -> Result<Response<Incoming>, Failure> {
    let informational = Informational::count(&mut request);
    let response = tokio::select! {
        response = client.request(request) => response,
        () = informational.exceeded() => {
            let text = "too many informational responses".to_owned();
            return Err(Failure::after_sending(HttpError::Malformed(text)));
        }
        () = sleep_until(deadline.into()) => {
            return Err(Failure::after_sending(HttpError::TimedOut));
        }
    };
    response.map_err(|error| {
        let text = error.source().map_or(error.to_string(), error_chain);
        if error.is_connect() {
            return Failure::before_sending(text);
        }
        Failure::after_sending(HttpError::Disconnected(text))
    })
}

/// Builds a request to an endpoint, with content type JSON.
///
/// # Panics
///
/// If `path` is not a valid URI path.
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

/// Reads a response body of at most `limit` bytes.
///
/// # Errors
///
/// [`Failure`] when the body is incomplete at the deadline or exceeds `limit`.
pub async fn read_body(
    response: Response<Incoming>,
    limit: usize,
    deadline: Instant,
) -> Result<Bytes, Failure> {
    let collected = timeout_at(deadline.into(), collect(response.into_body(), limit)).await;
    let collected = collected.unwrap_or(Err(HttpError::Incomplete));
    collected.map_err(Failure::after_sending)
}

/// Collects a body into one buffer, without a second copy of its chunks.
async fn collect(mut body: Incoming, limit: usize) -> Result<Bytes, HttpError> {
    let expected = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if expected > limit {
        return Err(HttpError::TooLarge { limit });
    }
    let mut collected = BytesMut::with_capacity(expected);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| HttpError::Disconnected(error_chain(&error)))?;
        // Trailers carry no content.
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        if collected.len() + chunk.len() > limit {
            return Err(HttpError::TooLarge { limit });
        }
        collected.extend_from_slice(&chunk);
    }
    Ok(collected.freeze())
}

/// Builds the error for a response that is not a success.
#[must_use]
pub fn status_error(status: StatusCode, body: &[u8]) -> HttpError {
    let text = String::from_utf8_lossy(body);
    HttpError::Status {
        status: status.as_u16(),
        message: text.trim().chars().take(MAX_MESSAGE_CHARS).collect(),
    }
}

/// Formats an error followed by its sources.
fn error_chain(error: &(dyn std::error::Error + 'static)) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(error) = source {
        text = format!("{text}: {error}");
        source = error.source();
    }
    text
}
