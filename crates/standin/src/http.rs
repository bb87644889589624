//! A small HTTP server shared by the stand-ins.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use parking_lot::Mutex;
use serde::Serialize;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::{CancellationToken, DropGuard};

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// An answer.
pub type Response = hyper::Response<Body>;

/// A listening server; dropping it closes the port and every connection.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    connections: Connections,
    stop: DropGuard,
}

/// Ends every connection there is when cancelled.
type Connections = Arc<Mutex<CancellationToken>>;

/// Marks an answer that is not to be given: the connection is cut instead.
#[derive(Clone, Copy, Debug)]
struct Abort;

impl Server {
    /// Binds a port and answers each request, read whole, by `handler`.
    ///
    /// # Errors
    ///
    /// What the operating system says when the address cannot be bound.
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

    /// Cuts every connection there is.
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
        let cut = connections.lock().clone();
        tokio::spawn(cut.run_until_cancelled_owned(serving));
    }
}

async fn serve<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    stream.set_nodelay(true).ok();
    let service = service_fn(move |request| answer(request, handler.clone()));
    let builder = auto::Builder::new(TokioExecutor::new());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    // A broken connection is the client's to notice.
    connection.await.ok();
}

async fn answer<H, F>(request: Request<Incoming>, handler: H) -> io::Result<Response>
where
    H: Fn(Request<Bytes>) -> F,
    F: Future<Output = Response>,
{
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let reply = handler(Request::from_parts(head, body)).await;
    if reply.extensions().get::<Abort>().is_some() {
        return Err(io::ErrorKind::ConnectionAborted.into());
    }
    Ok(reply)
}

/// Has the connection cut instead of an answer.
#[must_use]
pub fn abort() -> Response {
    let mut reply = Response::new(full_body(Bytes::new()));
    reply.extensions_mut().insert(Abort);
    reply
}

/// A body held in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A JSON answer.
///
/// # Panics
///
/// When `value` has no JSON form.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response {
    let text = serde_json::to_vec(value).expect("stand-ins answer what has a JSON form");
    let mut reply = Response::new(full_body(text));
    *reply.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    reply
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, json);
    reply
}

/// A JSON error in the API's usual form.
#[must_use]
pub fn error(status: StatusCode, message: &str) -> Response {
    let error =
        json!({"message": message, "type": "invalid_request_error", "param": null, "code": null});
    json(status, &json!({ "error": error }))
}

/// A request's body as JSON.
///
/// # Errors
///
/// The refusal to send when it is not JSON.
pub fn parse_json(request: &Request<Bytes>) -> Result<Value, Box<Response>> {
    serde_json::from_slice(request.body())
        .map_err(|cause| Box::new(error(StatusCode::BAD_REQUEST, &cause.to_string())))
}
