//! A small HTTP server shared by the stand-ins.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use serde::Serialize;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::{CancellationToken, DropGuard};

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// An answer.
pub type Reply = Response<Body>;

/// A listening server; dropping it closes the port and every connection.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    _stop: DropGuard,
}

impl Server {
    /// Binds a port and answers each request, read whole, by `handler`.
    ///
    /// # Errors
    ///
    /// What the operating system says when the address cannot be bound.
    pub async fn bind<H, F>(address: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Reply> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let accepting = accept(listener, handler, stop.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(accepting));
        Ok(Self {
            address,
            _stop: stop.drop_guard(),
        })
    }

    /// The bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept<H, F>(listener: TcpListener, handler: H, stop: CancellationToken)
where
    H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let serving = serve(stream, handler.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(serving));
    }
}

async fn serve<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    stream.set_nodelay(true).ok();
    let service = service_fn(move |request| answer(request, handler.clone()));
    let builder = auto::Builder::new(TokioExecutor::new());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    // A broken connection is the client's to notice.
    connection.await.ok();
}

async fn answer<H, F>(request: Request<Incoming>, handler: H) -> io::Result<Reply>
where
    H: Fn(Request<Bytes>) -> F,
    F: Future<Output = Reply>,
{
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    Ok(handler(Request::from_parts(head, body)).await)
}

/// A body held in memory.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A JSON answer.
///
/// # Panics
///
/// When `value` has no JSON form.
pub fn reply(status: StatusCode, value: &impl Serialize) -> Reply {
    let text = serde_json::to_vec(value).expect("stand-ins answer what has a JSON form");
    let mut reply = Response::new(full(text));
    *reply.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    reply
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, json);
    reply
}

/// A JSON error in the API's usual form.
#[must_use]
pub fn refuse(status: StatusCode, message: &str) -> Reply {
    let error =
        json!({"message": message, "type": "invalid_request_error", "param": null, "code": null});
    reply(status, &json!({ "error": error }))
}

/// A request's body as JSON.
///
/// # Errors
///
/// The refusal to send when it is not JSON.
pub fn parse(request: &Request<Bytes>) -> Result<Value, Box<Reply>> {
    serde_json::from_slice(request.body())
        .map_err(|error| Box::new(refuse(StatusCode::BAD_REQUEST, &error.to_string())))
}
