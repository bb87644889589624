//! HTTP server of the stand-ins.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use parking_lot::Mutex;
use serde::Serialize;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::{CancellationToken, DropGuard};

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A response with its body.
pub type Response = hyper::Response<Body>;

/// A running server. Dropping it closes the port and all connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    connections: Connections,
    stop: DropGuard,
}

/// Token whose cancellation closes the current connections.
type Connections = Arc<Mutex<CancellationToken>>;

/// Extension that marks a response made by [`abort`].
#[derive(Clone, Copy, Debug)]
struct Abort;

impl Server {
    /// Binds an address and serves requests with `handler`, which gets the whole request body.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn bind<H, F>(address: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let connections = Arc::new(Mutex::new(stop.child_token()));
        let accepting = accept(listener, handler, Arc::clone(&connections));
        tokio::spawn(stop.clone().run_until_cancelled_owned(accepting));
        Ok(Self {
            address,
            connections,
            stop: stop.drop_guard(),
        })
    }

    /// Closes all connections but keeps the port open.
    pub fn disconnect(&self) {
        let mut connections = self.connections.lock();
        connections.cancel();
        *connections = self.stop.token().child_token();
    }

    /// The bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept<H, F>(listener: TcpListener, handler: H, connections: Connections)
where
    H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let serving = serve(stream, handler.clone());
        let disconnected = connections.lock().clone();
        tokio::spawn(disconnected.run_until_cancelled_owned(serving));
    }
}

async fn serve<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    stream.set_nodelay(true).ok();
    let service = service_fn(move |request| respond(request, handler.clone()));
    let builder = auto::Builder::new(TokioExecutor::new());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    // The client detects a broken connection itself.
    connection.await.ok();
}

async fn respond<H, F>(request: Request<Incoming>, handler: H) -> io::Result<Response>
where
    H: Fn(Request<Bytes>) -> F,
    F: Future<Output = Response>,
{
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let response = handler(Request::from_parts(head, body)).await;
    if response.extensions().get::<Abort>().is_some() {
        return Err(io::ErrorKind::ConnectionAborted.into());
    }
    Ok(response)
}

/// Makes the server close the connection without a response.
#[must_use]
pub fn abort() -> Response {
    let mut response = Response::new(full_body(Bytes::new()));
    response.extensions_mut().insert(Abort);
    response
}

/// A body whose bytes are all available.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A JSON response.
///
/// # Panics
///
/// If `value` cannot be serialized as JSON.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response {
    let text = serde_json::to_vec(value).expect("responses serialize as JSON");
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// An error response in the format of the `OpenAI` API.
#[must_use]
pub fn error(status: StatusCode, message: &str) -> Response {
    let error =
        json!({"message": message, "type": "invalid_request_error", "param": null, "code": null});
    json(status, &json!({ "error": error }))
}

/// Parses the body of a request as JSON.
///
/// # Errors
///
/// The error response if the body is not valid JSON.
pub fn parse_json(request: &Request<Bytes>) -> Result<Value, Box<Response>> {
    serde_json::from_slice(request.body())
        .map_err(|cause| Box::new(error(StatusCode::BAD_REQUEST, &cause.to_string())))
}
