//! The backend server beside the sidecar.

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

use super::header;

/// How long an idle connection is kept. Shorter than servers usually wait
/// before they close one.
const IDLE: Duration = Duration::from_secs(4);

/// How long a connection may take to be set up.
const CONNECT: Duration = Duration::from_secs(2);

/// How long a resume or a cancel may take to be answered.
const RESUME: Duration = Duration::from_secs(2);

/// Response header by which an engine names a stream for resume and cancel.
pub(crate) const STREAM_ID: &str = "x-stream-id";

/// Body of a request to the backend.
pub(crate) type Outgoing = Either<Incoming, Empty<Bytes>>;

/// The backend server, reached over HTTP/1.1.
#[derive(Clone, Debug)]
pub(crate) struct Backend {
    address: SocketAddr,
    /// Reuses connections.
    pooled: Client<HttpConnector, Outgoing>,
    /// Opens a connection for each request, so that none is sent on a
    /// connection which the backend is just closing.
    single: Client<HttpConnector, Outgoing>,
}

impl Backend {
    pub(crate) fn open(address: SocketAddr) -> Self {
        Self {
            address,
            pooled: client(usize::MAX),
            single: client(0),
        }
    }

    /// Whether a connection can be set up.
    pub(crate) async fn answers(&self) -> bool {
        let connect = TcpStream::connect(self.address);
        matches!(timeout(CONNECT, connect).await, Ok(Ok(_)))
    }

    /// Sends a request. `once` opens a connection for it.
    pub(crate) async fn send(
        &self,
        request: Request<Incoming>,
        once: bool,
    ) -> Result<Response<Incoming>, Error> {
        let (mut parts, body) = request.into_parts();
        let mut uri = parts.uri.into_parts();
        uri.scheme = Some(Scheme::HTTP);
        uri.authority = self.address.to_string().parse().ok();
        parts.uri = Uri::from_parts(uri).unwrap_or_default();
        parts.version = Version::HTTP_11;
        parts.headers.remove(HOST);
        parts.headers.remove(ticket::HEADER);
        header::strip(&mut parts.headers);
        let request = Request::from_parts(parts, Either::Left(body));
        let client = if once { &self.single } else { &self.pooled };
        client.request(request).await
    }

    /// Goes on with a stream after a number of events; `None` when the engine
    /// cannot.
    pub(crate) async fn resume(&self, id: &str, after: u64) -> Option<Incoming> {
        let request = self.stream(Method::GET, &format!("{id}?from={after}"))?;
        let sent = timeout(RESUME, self.single.request(request)).await;
        let response = sent.ok()?.ok()?;
        let resumed = response.status() == StatusCode::OK;
        resumed.then(|| response.into_body())
    }

    /// Cancels a stream.
    pub(crate) async fn cancel(&self, id: &str) {
        if let Some(request) = self.stream(Method::DELETE, id) {
            // An engine that cannot be told finds out by itself.
            let _ = timeout(RESUME, self.pooled.request(request)).await;
        }
    }

    fn stream(&self, method: Method, name: &str) -> Option<Request<Outgoing>> {
        let uri = format!("http://{}/v1/streams/{name}", self.address);
        let request = Request::builder().method(method).uri(uri);
        request.body(Either::Right(Empty::new())).ok()
    }
}

fn client(idle: usize) -> Client<HttpConnector, Outgoing> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE)
        .pool_max_idle_per_host(idle)
        .build(connector)
}
