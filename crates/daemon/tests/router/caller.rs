//! A caller.

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

/// An answer as the caller sees it.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// The text, or why there is no whole one.
    pub(crate) text: Result<String, String>,
}

impl Reply {
    /// A header's value, or nothing.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().unwrap())
    }

    /// The status, the error's code and the outcome of a refusal.
    pub(crate) fn refusal(&self) -> (u16, String, &str) {
        let text = self.text.as_deref().unwrap_or("{}");
        let body: Value = serde_json::from_str(text).unwrap_or_default();
        let code = body["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        (self.status.as_u16(), code, self.header("x-outcome"))
    }
}

/// A request for the model.
pub(crate) fn completion() -> Request<Full<Bytes>> {
    let body = json!({"model": MODEL, "messages": [{"role": "user", "content": "hi"}]});
    post("/v1/chat/completions", &body.to_string())
}

/// A request of the usual customer.
pub(crate) fn post(path: &str, body: &str) -> Request<Full<Bytes>> {
    Request::post(path)
        .header("host", "router")
        .header("authorization", format!("Bearer key-{CUSTOMER}"))
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap()
}

/// Adds a header.
pub(crate) fn with(
    mut request: Request<Full<Bytes>>,
    name: &'static str,
    value: &str,
) -> Request<Full<Bytes>> {
    request.headers_mut().insert(name, value.parse().unwrap());
    request
}

/// Opens a connection.
pub(crate) async fn connect(address: SocketAddr) -> http1::SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(address).await.unwrap();
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    sender
}

/// Sends a request on a connection of its own and reads the head of the answer.
pub(crate) async fn open(address: SocketAddr, request: Request<Full<Bytes>>) -> Response<Incoming> {
    let mut sender = connect(address).await;
    sender.send_request(request).await.unwrap()
}

/// Reads the rest of an answer.
pub(crate) async fn read(response: Response<Incoming>) -> Reply {
    let (parts, body) = response.into_parts();
    let text = match body.collect().await {
        Ok(whole) => Ok(String::from_utf8(whole.to_bytes().to_vec()).unwrap()),
        Err(error) => Err(error.to_string()),
    };
    Reply {
        status: parts.status,
        headers: parts.headers,
        text,
    }
}

/// Sends a request and reads its answer.
pub(crate) async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> Reply {
    read(open(address, request).await).await
}

/// Sends a request in a task of its own.
pub(crate) fn spawn(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> tokio::task::JoinHandle<Reply> {
    tokio::spawn(send(address, request))
}

/// Sends bytes as they are and reads all that comes back.
pub(crate) async fn raw(address: SocketAddr, bytes: &[u8], half_close: bool) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The router may close before it has read all.
    let _ = stream.write_all(bytes).await;
    if half_close {
        let _ = stream.shutdown().await;
    }
    let mut read = Vec::new();
    let mut piece = [0; 4096];
    while let Ok(count) = stream.read(&mut piece).await {
        if count == 0 {
            break;
        }
        read.extend_from_slice(&piece[..count]);
    }
    String::from_utf8_lossy(&read).into_owned()
}
