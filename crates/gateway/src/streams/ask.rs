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
use tokio::time::sleep_until;

use crate::core::Core;
use crate::peer_call;

/// Number of gateways that are asked. One more than are told, as the one that relayed the stream
/// is not among those that it told.
const ASKED: usize = super::REPLICAS + 1;

/// Longest time of a question with its repetitions. Callers wait for seconds.
const LONGEST: Duration = Duration::from_millis(500);

/// Pause before gateways are asked again that could not be asked.
const PAUSE: Duration = Duration::from_millis(100);

/// What the other gateways know of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Answer {
    Known(Origin),
    /// All that may know it have answered that they do not.
    Unknown,
    /// Some have answered that they do not, others have not answered.
    Partial,
    /// None that may know it has answered.
    Unanswered,
}

/// Asks the gateways that keep the origin of a stream, again if one of them could not be asked and
/// the caller still waits.
pub(super) async fn ask(core: &Core, stream: StreamId, remaining_ms: u64) -> Answer {
    let deadline = Instant::now() + LONGEST.min(Duration::from_millis(remaining_ms));
    loop {
        let answer = ask_all(core, stream, deadline).await;
        let next = Instant::now() + PAUSE;
        let is_complete = matches!(answer, Answer::Known(_) | Answer::Unknown);
        if is_complete || next >= deadline {
            return answer;
        }
        sleep_until(next.into()).await;
    }
}

/// Asks each of the gateways once. They may be others than before.
async fn ask_all(core: &Core, stream: StreamId, deadline: Instant) -> Answer {
    let addresses = core.exchange.replicas(stream, ASKED);
    let calls = addresses
        .into_iter()
        .map(|address| ask_one(core, address, stream, deadline));
    let mut calls: FuturesUnordered<_> = calls.collect();
    let (mut answered, mut unanswered) = (0, 0);
    while let Some(answer) = calls.next().await {
        match answer {
            Answer::Known(_) => return answer,
            Answer::Unknown => answered += 1,
            Answer::Partial | Answer::Unanswered => unanswered += 1,
        }
    }
    match (answered, unanswered) {
        (_, 0) => Answer::Unknown,
        (0, _) => Answer::Unanswered,
        _ => Answer::Partial,
    }
}

async fn ask_one(core: &Core, address: SocketAddr, stream: StreamId, deadline: Instant) -> Answer {
    let client = &core.streams.http;
    let error = match peer_call::send(client, address, PATH, &stream, deadline).await {
        // Gateways of earlier releases do not implement the endpoint and keep nothing.
        Ok((StatusCode::NOT_FOUND, _)) => return Answer::Unknown,
        Ok((StatusCode::OK, body)) => match postcard::from_bytes(&body) {
            Ok(origin) => return Option::map_or(origin, Answer::Unknown, Answer::Known),
            Err(error) => error.to_string(),
        },
        Ok((status, _)) => status.to_string(),
        Err(failure) => failure.cause.to_string(),
    };
    log!(core.logger, Event::OriginCallFailed,
        "address" => address.to_string(), "error" => error);
    Answer::Unanswered
}

/// Handles a call by another gateway: responds with the origin of the stream, if it is known.
pub(crate) async fn handle_ask(
    core: &Arc<Core>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    // One that has just started knows nothing yet, which is no answer.
    if core.view.config().is_none() {
        return peer_call::unavailable();
    }
    match peer_call::read(core, request).await {
        Some(stream) => peer_call::response(StatusCode::OK, &core.streams.get(stream)),
        None => peer_call::bad_request(),
    }
}
