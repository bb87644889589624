//! HTTP client of the backend server.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{Either, Empty};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::uri::Scheme;
use hyper::{Method, Request, Response, StatusCode, Uri, Version};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use mulberryyoke_wire::ticket;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::hop_by_hop;

/// Idle timeout of pooled connections; shorter than the usual keep-alive timeout
/// of servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Timeout of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of resuming or cancelling a stream.
const STREAM_TIMEOUT: Duration = Duration::from_secs(2);

/// Response header with the engine's ID of a stream, used to resume or cancel it.
pub(crate) const STREAM_ID_HEADER: &str = "x-stream-id";

/// Request body.
pub(crate) type RequestBody = Either<Incoming, Empty<Bytes>>;

/// The backend server, reached over HTTP/1.1.
#[derive(Clone, Debug)]
pub(crate) struct Backend {
    address: SocketAddr,
    /// Reuses idle connections.
    pooled: Client<HttpConnector, RequestBody>,
    /// Opens a connection per request, so that no request is sent on a connection
    /// that the backend is closing.
    unpooled: Client<HttpConnector, RequestBody>,
}

impl Backend {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            pooled: client(usize::MAX),
            unpooled: client(0),
        }
    }

    /// Whether the backend accepts connections.
    pub(crate) async fn is_reachable(&self) -> bool {
        let connect = TcpStream::connect(self.address);
        matches!(timeout(CONNECT_TIMEOUT, connect).await, Ok(Ok(_)))
    }

    /// Sends a request, on a new connection if `unpooled`.
    pub(crate) async fn send(
        &self,
        request: Request<Incoming>,
        unpooled: bool,
    ) -> Result<Response<Incoming>, Error> {
        let (mut parts, body) = request.into_parts();
        let mut uri = parts.uri.into_parts();
        uri.scheme = Some(Scheme::HTTP);
        uri.authority = self.address.to_string().parse().ok();
        parts.uri = Uri::from_parts(uri).unwrap_or_default();
        parts.version = Version::HTTP_11;
        parts.headers.remove(HOST);
        parts.headers.remove(ticket::HEADER);
        hop_by_hop::strip(&mut parts.headers);
        let request = Request::from_parts(parts, Either::Left(body));
        let client = if unpooled {
            &self.unpooled
        } else {
            &self.pooled
        };
        client.request(request).await
    }

    /// Resumes a stream after its first `after` events; `None` if the engine cannot
    /// resume it.
    pub(crate) async fn resume(&self, id: &str, after: u64) -> Option<Incoming> {
        let request = self.stream_request(Method::GET, &format!("{id}?from={after}"))?;
        let sent = timeout(STREAM_TIMEOUT, self.unpooled.request(request)).await;
        let response = sent.ok()?.ok()?;
        let resumed = response.status() == StatusCode::OK;
        resumed.then(|| response.into_body())
    }

    /// Requests the cancellation of a stream.
    pub(crate) async fn cancel(&self, id: &str) {
        if let Some(request) = self.stream_request(Method::DELETE, id) {
            // Best effort: the engine also notices the closed connection.
            let _ = timeout(STREAM_TIMEOUT, self.pooled.request(request)).await;
        }
    }

    fn stream_request(&self, method: Method, target: &str) -> Option<Request<RequestBody>> {
        let uri = format!("http://{}/v1/streams/{target}", self.address);
        let request = Request::builder().method(method).uri(uri);
        request.body(Either::Right(Empty::new())).ok()
    }
}

fn client(max_idle: usize) -> Client<HttpConnector, RequestBody> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .build(connector)
}
