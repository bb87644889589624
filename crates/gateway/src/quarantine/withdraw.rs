//! Withdrawal of suspect requests that were admitted and then not run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response, StatusCode};
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::Digest;
use tokio::time::Instant;

use crate::call::Call;
use crate::core::Core;
use crate::peer_call;

/// Path of the endpoint that ends an admission.
pub(crate) const PATH: &str = "/quarantine/withdraw";

/// Age up to which an admission is ended, well within the time for which it excludes other copies:
/// a later one may be that of another copy.
const MAX_AGE: Duration = Duration::from_millis(700);

/// Timeout of a call to that endpoint.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);

/// Ends the admission that a request asked for at `asked_at`, as it has not run and never will.
pub(crate) fn withdraw(core: &Arc<Core>, call: &Call, asked_at: Instant) {
    let digest = call.digest();
    if asked_at.elapsed() > MAX_AGE {
        return;
    }
    match core.exchange.arbiter(digest) {
        None => core.quarantine.update(|records| records.withdraw(digest)),
        Some(arbiter) => {
            let core = Arc::clone(core);
            tokio::spawn(async move { send(&core, arbiter, digest).await });
        }
    }
}

async fn send(core: &Core, arbiter: SocketAddr, digest: Digest) {
    let deadline = std::time::Instant::now() + CALL_TIMEOUT;
    let client = &core.quarantine.http;
    // Gateways of earlier releases do not implement the endpoint; the admission expires there.
    if let Err(failure) = peer_call::send(client, arbiter, PATH, &digest, deadline).await {
        log!(core.logger, Event::AdmitFailed,
            "address" => arbiter.to_string(), "error" => failure.cause.to_string());
    }
}

/// Handles a call by another gateway.
pub(crate) async fn handle_withdraw(
    core: &Arc<Core>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let Some(digest) = peer_call::read::<Digest>(core, request).await else {
        return peer_call::bad_request();
    };
    core.quarantine.update(|records| records.withdraw(digest));
    peer_call::response(StatusCode::OK, &())
}
