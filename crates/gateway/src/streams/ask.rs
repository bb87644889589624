//! Asking other gateways for the origin of a stream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use mulberryyoke_decide::stream::Origin;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::StreamId;
use mulberryyoke_platform::http;
use mulberryyoke_wire::stream::PATH;

use crate::core::Core;

/// Number of gateways that are asked. One more than are told, as the one that relayed the stream
/// is not among those that it told.
const ASKED: usize = super::REPLICAS + 1;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum size of a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 64;

/// Asks the gateways that keep the origin of a stream. `None` if none of them knows it.
pub(super) async fn ask(core: &Core, stream: StreamId) -> Option<Origin> {
    let deadline = Instant::now() + CALL_TIMEOUT;
    let addresses = core.exchange.replicas(stream, ASKED);
    let calls = addresses
        .into_iter()
        .map(|address| ask_one(core, address, stream, deadline));
    let mut calls: FuturesUnordered<_> = calls.collect();
    while let Some(origin) = calls.next().await {
        if origin.is_some() {
            return origin;
        }
    }
    None
}

async fn ask_one(
    core: &Core,
    address: SocketAddr,
    stream: StreamId,
    deadline: Instant,
) -> Option<Origin> {
    let body = Bytes::from(postcard::to_stdvec(&stream).unwrap_or_default());
    let request = http::request(Method::POST, address, PATH, body);
    let call = async {
        let response = core.streams.http.send(request, deadline).await?;
        http::read_body(response, MAX_MESSAGE_BYTES, deadline).await
    };
    match call.await {
        // Gateways of earlier releases do not implement the endpoint.
        Ok(body) => postcard::from_bytes(&body).ok().flatten(),
        Err(failure) => {
            log!(core.logger, Event::OriginCallFailed,
                "address" => address.to_string(), "error" => failure.cause.to_string());
            None
        }
    }
}

/// Handles a call by another gateway: responds with the origin of the stream, if it is known.
pub(crate) async fn handle_ask(
    core: &Arc<Core>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let body = Limited::new(request.into_body(), MAX_MESSAGE_BYTES).collect();
    let stream = match body.await {
        Ok(body) => postcard::from_bytes::<StreamId>(&body.to_bytes()).ok(),
        Err(_) => None,
    };
    let Some(stream) = stream else {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    let origin = core.streams.get(stream);
    let body = postcard::to_stdvec(&origin).unwrap_or_default();
    Response::new(Full::new(Bytes::from(body)))
}
