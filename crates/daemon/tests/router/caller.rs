//! An HTTP client that sends requests as a caller.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fleet::{CUSTOMER, MODEL};

/// A response that was read to its end.
#[derive(Debug)]
pub(crate) struct FullResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// The body, or why it could not be read.
    pub(crate) body: Result<String, String>,
}

impl FullResponse {
    /// Returns a header's value, or an empty string.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().unwrap())
    }

    /// Returns the status, error code and outcome of a refusal.
    pub(crate) fn refusal(&self) -> (u16, String, &str) {
        let body = self.body.as_deref().unwrap_or("{}");
        let body: Value = serde_json::from_str(body).unwrap_or_default();
        let code = body["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        (self.status.as_u16(), code, self.header("x-outcome"))
    }
}

/// A chat completion request for [`MODEL`].
pub(crate) fn completion() -> Request<Full<Bytes>> {
    let body = json!({"model": MODEL, "messages": [{"role": "user", "content": "hi"}]});
    post("/v1/chat/completions", &body.to_string())
}

/// A POST request of [`CUSTOMER`].
pub(crate) fn post(path: &str, body: &str) -> Request<Full<Bytes>> {
    Request::post(path)
        .header("host", "router")
        .header("authorization", format!("Bearer key-{CUSTOMER}"))
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap()
}

pub(crate) fn with_header(
    mut request: Request<Full<Bytes>>,
    name: &'static str,
    value: &str,
) -> Request<Full<Bytes>> {
    request.headers_mut().insert(name, value.parse().unwrap());
    request
}

/// Opens an HTTP/1.1 connection.
pub(crate) async fn connect(address: SocketAddr) -> http1::SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(address).await.unwrap();
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    sender
}

/// Sends a request on a new connection and receives the response head.
pub(crate) async fn receive_head(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Response<Incoming> {
    let mut sender = connect(address).await;
    sender.send_request(request).await.unwrap()
}

/// Reads a response body.
pub(crate) async fn read_response(response: Response<Incoming>) -> FullResponse {
    let (parts, body) = response.into_parts();
    let body = match body.collect().await {
        Ok(body) => Ok(String::from_utf8(body.to_bytes().to_vec()).unwrap()),
        Err(error) => Err(error.to_string()),
    };
    FullResponse {
        status: parts.status,
        headers: parts.headers,
        body,
    }
}

/// Sends a request on a new connection and reads the response.
pub(crate) async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> FullResponse {
    read_response(receive_head(address, request).await).await
}

/// Spawns a task that calls [`send`].
pub(crate) fn spawn(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> tokio::task::JoinHandle<FullResponse> {
    tokio::spawn(send(address, request))
}

/// Sends raw bytes and reads until the router closes the connection.
pub(crate) async fn send_raw(address: SocketAddr, bytes: &[u8], half_close: bool) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The router may close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    if half_close {
        let _ = stream.shutdown().await;
    }
    let mut received = Vec::new();
    let mut chunk = [0; 4096];
    while let Ok(count) = stream.read(&mut chunk).await {
        if count == 0 {
            break;
        }
        received.extend_from_slice(&chunk[..count]);
    }
    String::from_utf8_lossy(&received).into_owned()
}
