//! HTTP endpoints for peers and operators: metrics, and the key-value service's contents.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use mulberryyoke_platform::kv::Position;
use mulberryyoke_wire::relay::{CHANGES, CURRENT_FOR, LIST};
use mulberryyoke_wire::stream;

use crate::core::Core;
use crate::mirror::Answer;
use crate::relay_body::RelayBody;
use crate::{clock, quarantine, readiness, streams};

const METRICS: &str = "/metrics";

/// Configuration age above which a peer's request for changes is rejected at once, in
/// milliseconds: one call to the key-value service has failed.
const MAX_AGE_MS: u64 = 1_800;

/// Upper bound of the wait time that a peer may request, in milliseconds.
const MAX_WAIT_MS: u64 = 10_000;

/// Body of a response: of a peer's call for contents, or another.
pub(crate) type ControlBody = Either<Full<Bytes>, RelayBody>;

/// Handles a request.
pub(crate) async fn handle(
    core: Arc<Core>,
    request: Request<Incoming>,
) -> Result<Response<ControlBody>, Infallible> {
    let received_ms = clock::now_ms();
    let uri = request.uri().clone();
    let response = match uri.path() {
        METRICS => full(Response::new(Full::new(Bytes::from(
            readiness::render_metrics(&core),
        )))),
        LIST => relay_response(&core, core.mirror.list(), received_ms),
        quarantine::PATH => full(quarantine::handle_admit(&core, request).await),
        quarantine::WITHDRAW_PATH => full(quarantine::handle_withdraw(&core, request).await),
        quarantine::PART_PATH => full(quarantine::handle_admit_part(&core, request).await),
        stream::PATH => full(streams::handle_ask(&core, request).await),
        CHANGES => changes(&core, uri.query().unwrap_or(""), received_ms).await,
        _ => status_response(StatusCode::NOT_FOUND),
    };
    Ok(response)
}

async fn changes(core: &Core, query: &str, received_ms: u64) -> Response<ControlBody> {
    let (Some(revision), Some(wait_ms)) = (parameter(query, "after"), parameter(query, "wait_ms"))
    else {
        return status_response(StatusCode::BAD_REQUEST);
    };
    // Gateways of releases without eras omit the parameter.
    let era = parameter(query, "era").unwrap_or(0);
    let after = Position { era, revision };
    if core.view.age_ms() > MAX_AGE_MS {
        return status_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    wait_for_changes(core, after, received_ms + wait_ms.min(MAX_WAIT_MS)).await;
    relay_response(core, core.mirror.changes(after), received_ms)
}

/// Waits until there are writes after a position, at most until a time, and only as long as the source
/// of this gateway counts as having current data: the peer then asks another one.
async fn wait_for_changes(core: &Core, after: Position, until_ms: u64) {
    loop {
        let left_ms = until_ms.saturating_sub(clock::now_ms());
        let wait_ms = left_ms.min(core.view.current_for_ms());
        let wait = Duration::from_millis(wait_ms);
        if wait_ms == 0 || core.mirror.wait(after, wait).await {
            return;
        }
    }
}

fn parameter(query: &str, name: &str) -> Option<u64> {
    let parameters = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut matching = parameters.filter(|(key, _)| *key == name);
    matching.next()?.1.parse().ok()
}

fn relay_response(core: &Core, answer: Answer, received_ms: u64) -> Response<ControlBody> {
    let message = match answer {
        Answer::Message(message) => message,
        Answer::Compacted => return status_response(StatusCode::GONE),
        Answer::Busy => return status_response(StatusCode::TOO_MANY_REQUESTS),
    };
    let known_ms = core.view.confirmed_since_ms(received_ms);
    let mut response = Response::new(Either::Right(RelayBody::new(known_ms, message)));
    let current_for = core.view.current_for_ms().into();
    response.headers_mut().insert(CURRENT_FOR, current_for);
    response
}

fn status_response(status: StatusCode) -> Response<ControlBody> {
    let mut response = full(Response::default());
    *response.status_mut() = status;
    response
}

fn full(response: Response<Full<Bytes>>) -> Response<ControlBody> {
    response.map(Either::Left)
}
