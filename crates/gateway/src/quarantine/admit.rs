//! Admission of suspect requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use mulberryyoke_decide::quarantine::{Suspect, Verdict};
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::Digest;

use super::receive;
use crate::call::Call;
use crate::clock;
use crate::core::Core;
use crate::peer_call;
use crate::refusal::Refusal;

/// Path of the endpoint that decides for other gateways whether a copy of a request may run.
pub(crate) const PATH: &str = "/quarantine/admit";

/// Timeout of a call to that endpoint.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum crashes with which a request may run if the arbiter does not answer. A single crash may
/// have been caused by another request on the same server.
const MAX_UNARBITRATED_CRASHES: u32 = 1;

/// Returns the verdict that this gateway knows. Refuses a convicted request.
pub(crate) fn check(core: &Core, call: &Call) -> Result<Verdict, Refusal> {
    if core.quarantine.is_empty() {
        return Ok(Verdict::Clear);
    }
    let digest = call.digest();
    let verdict = core.quarantine.verdict(digest);
    if matches!(verdict, Verdict::Convicted { .. }) {
        return Err(withhold(core, call, digest, verdict));
    }
    Ok(verdict)
}

/// Decides whether a request may be sent to a server, and returns the verdict on it. At most one
/// copy of a suspect runs in the fleet at a time, which one gateway, the arbiter, enforces. If
/// `is_admitted`, the request was admitted before and has not run since.
pub(crate) async fn admit(
    core: &Arc<Core>,
    call: &Call,
    is_admitted: bool,
) -> Result<Verdict, Refusal> {
    if core.quarantine.is_empty() {
        return Ok(Verdict::Clear);
    }
    let digest = call.digest();
    let verdict = core.quarantine.verdict(digest);
    let is_allowed = match verdict {
        Verdict::Clear => true,
        Verdict::Convicted { .. } => false,
        Verdict::Suspect { .. } if is_admitted => true,
        Verdict::Suspect { crashes } => match core.exchange.arbiter(digest) {
            None => admit_locally(core, digest),
            Some(arbiter) => {
                let decision = request_admission(core, arbiter, digest).await;
                decision.unwrap_or(crashes <= MAX_UNARBITRATED_CRASHES)
            }
        },
    };
    if is_allowed {
        return Ok(verdict);
    }
    Err(withhold(core, call, digest, verdict))
}

/// Records that a request is not sent, and returns the refusal.
fn withhold(core: &Core, call: &Call, digest: Digest, verdict: Verdict) -> Refusal {
    log!(core.logger, Event::Withheld,
        "request" => &call.id,
        "digest" => digest.to_string(),
        "verdict" => verdict.as_str(),
        "ended" => verdict.crashes());
    metrics::counter!("quarantine_withheld_total", "verdict" => verdict.as_str()).increment(1);
    Refusal::Quarantined
}

fn admit_locally(core: &Core, digest: Digest) -> bool {
    core.quarantine
        .update(|records| records.admit(digest, clock::now_ms()))
}

/// Asks the arbiter for admission. `None` if it gives no decision.
async fn request_admission(core: &Arc<Core>, arbiter: SocketAddr, digest: Digest) -> Option<bool> {
    let suspect = core.quarantine.snapshot(digest);
    let deadline = Instant::now() + CALL_TIMEOUT;
    let client = &core.quarantine.http;
    match peer_call::send(client, arbiter, PATH, &suspect, deadline).await {
        Ok((status, body)) => {
            if let Ok(snapshot) = postcard::from_bytes::<Suspect>(&body) {
                receive(core, &[snapshot]);
            }
            match status {
                StatusCode::OK => Some(true),
                StatusCode::CONFLICT => Some(false),
                // Gateways of earlier releases do not implement the endpoint.
                _ => None,
            }
        }
        Err(failure) => {
            log!(core.logger, Event::AdmitFailed,
                "address" => arbiter.to_string(), "error" => failure.cause.to_string());
            None
        }
    }
}

/// Handles a call by another gateway: responds with 200 if its copy may run and with 409 if not,
/// and in either case with the record of the request.
pub(crate) async fn handle_admit(
    core: &Arc<Core>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let Some(suspect) = peer_call::read::<Suspect>(core, request).await else {
        return peer_call::bad_request();
    };
    let digest = suspect.digest;
    receive(core, &[suspect]);
    let is_allowed = admit_locally(core, digest);
    let status = if is_allowed {
        StatusCode::OK
    } else {
        StatusCode::CONFLICT
    };
    peer_call::response(status, &core.quarantine.snapshot(digest))
}
