//! HTTP requests to the operator port of a router.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::client::conn::http1;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Posts a command and returns the response body, or an error message with the router's
/// address.
pub(crate) async fn post(router: SocketAddr, key: &str, body: Bytes) -> Result<Bytes, String> {
    let message = |e: &dyn std::fmt::Display| format!("{router}: {e}");
    let stream = TcpStream::connect(router).await.map_err(|e| message(&e))?;
    let io = TokioIo::new(stream);
    let (mut sender, connection) = http1::handshake(io).await.map_err(|e| message(&e))?;
    let connection = tokio::spawn(connection);
    let request = Request::post("/v1/command")
        .header(HOST, router.to_string())
        .header(AUTHORIZATION, format!("Bearer {key}"))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|e| message(&e))?;
    let response = sender
        .send_request(request)
        .await
        .map_err(|e| message(&e))?;
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await;
    connection.abort();
    Ok(body.map_err(|e| message(&e))?.to_bytes())
}
