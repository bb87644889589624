//! Asking other gateways for the origin of a stream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use mulberryyoke_decide::stream::Origin;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::StreamId;
use mulberryyoke_wire::stream::PATH;

use crate::core::Core;
use crate::peer_call;

/// Number of gateways that are asked. One more than are told, as the one that relayed the stream
/// is not among those that it told.
const ASKED: usize = super::REPLICAS + 1;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);

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
    let client = &core.streams.http;
    match peer_call::send(client, address, PATH, &stream, deadline).await {
        // Gateways of earlier releases do not implement the endpoint.
        Ok((_, body)) => postcard::from_bytes(&body).ok().flatten(),
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
    match peer_call::read(core, request).await {
        Some(stream) => peer_call::response(StatusCode::OK, &core.streams.get(stream)),
        None => peer_call::bad_request(),
    }
}
