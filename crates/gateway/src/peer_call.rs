//! Calls between gateways whose messages are encoded with postcard.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use mulberryyoke_event::{Event, log};
use mulberryyoke_platform::http::{self, Failure, Http};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::core::Core;

/// Maximum size of a message, in bytes. The record of a suspect request takes a few hundred.
const MAX_MESSAGE_BYTES: usize = 4 << 10;

/// Time limit for receiving a message. Callers wait for less.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a message and returns the status and body of the response.
pub(crate) async fn send(
    client: &Http,
    address: SocketAddr,
    path: &str,
    message: &impl Serialize,
    deadline: Instant,
) -> Result<(StatusCode, Bytes), Failure> {
    let body = Bytes::from(postcard::to_stdvec(message).unwrap_or_default());
    let request = http::request(Method::POST, address, path, body);
    let response = client.send(request, deadline).await?;
    let status = response.status();
    let body = http::read_body(response, MAX_MESSAGE_BYTES, deadline).await?;
    Ok((status, body))
}

/// Reads the message of a call; `None` if it is malformed, too large or late.
pub(crate) async fn read<T: DeserializeOwned>(
    core: &Core,
    request: Request<Incoming>,
) -> Option<T> {
    let path = request.uri().path().to_owned();
    let message = receive(request).await;
    let error = match message {
        Ok(message) => match postcard::from_bytes(&message) {
            Ok(message) => return Some(message),
            Err(error) => error.to_string(),
        },
        Err(error) => error,
    };
    log!(core.logger, Event::MessageUnreadable, "path" => path, "error" => error);
    None
}

async fn receive(request: Request<Incoming>) -> Result<Bytes, String> {
    let body = Limited::new(request.into_body(), MAX_MESSAGE_BYTES).collect();
    match timeout(READ_TIMEOUT, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err("message timed out".to_owned()),
    }
}

/// Returns a response that carries a message.
pub(crate) fn response(status: StatusCode, message: &impl Serialize) -> Response<Full<Bytes>> {
    let body = postcard::to_stdvec(message).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

/// Returns the response to a call that cannot be answered yet.
pub(crate) fn unavailable() -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}

/// Returns the response to a call whose message could not be read.
pub(crate) fn bad_request() -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}
