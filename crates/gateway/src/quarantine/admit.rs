//! Whether a request may be sent to a server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use mulberryyoke_decide::quarantine::{Suspect, Verdict};
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::Digest;
use mulberryyoke_platform::http;

use super::{conviction, receive};
use crate::call::Call;
use crate::clock;
use crate::core::Core;
use crate::refusal::Refusal;

/// Path at which one gateway asks another whether a copy of a request may run.
pub(crate) const PATH: &str = "/quarantine/admit";

/// Longest time of such a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);

/// Largest message, in bytes: a suspect with its ends has a few hundred.
const MAX_MESSAGE_BYTES: usize = 4 << 10;

/// Ends with which a request may run though the gateway that decides cannot be asked: any
/// request may have stood beside one that ends servers.
const MAX_UNARBITRATED_CRASHES: u32 = 1;

/// Whether a request may be sent to a server, and what is held against it. Of one under
/// suspicion one copy at a time may run in the whole fleet: one gateway decides, which all that
/// know of each other agree on. One that `is_admitted` was told so and has not run since.
pub(crate) async fn admit(core: &Core, call: &Call, is_admitted: bool) -> Result<Verdict, Refusal> {
    if core.quarantine.is_empty() {
        return Ok(Verdict::Clear);
    }
    let digest = call.digest();
    let verdict = core.quarantine.verdict(digest);
    let may = match verdict {
        Verdict::Clear => true,
        Verdict::Convicted { .. } => false,
        Verdict::Suspect { .. } if is_admitted => true,
        Verdict::Suspect { crashes } => match core.exchange.arbiter(digest) {
            None => admit_locally(core, digest),
            Some(arbiter) => {
                let asked = request_admission(core, arbiter, digest).await;
                asked.unwrap_or(crashes <= MAX_UNARBITRATED_CRASHES)
            }
        },
    };
    if may {
        return Ok(verdict);
    }
    log!(core.logger, Event::Withheld,
        "request" => &call.id,
        "digest" => digest.to_string(),
        "verdict" => verdict.as_str(),
        "ended" => verdict.crashes());
    metrics::counter!("quarantine_withheld_total", "verdict" => verdict.as_str()).increment(1);
    Err(Refusal::Quarantined)
}

fn admit_locally(core: &Core, digest: Digest) -> bool {
    core.quarantine
        .update(|records| records.admit(digest, clock::now_ms()))
}

/// Asks the gateway that decides. `None` if it does not answer.
async fn request_admission(core: &Core, arbiter: SocketAddr, digest: Digest) -> Option<bool> {
    let suspect = core.quarantine.snapshot(digest);
    let body = Bytes::from(postcard::to_stdvec(&suspect).unwrap_or_default());
    let request = http::request(Method::POST, arbiter, PATH, body);
    let deadline = Instant::now() + CALL_TIMEOUT;
    let asked = async {
        let answer = core.quarantine.http.send(request, deadline).await?;
        let status = answer.status();
        let body = http::read(answer, MAX_MESSAGE_BYTES, deadline).await?;
        Ok::<_, http::Failure>((status, body))
    };
    match asked.await {
        Ok((status, body)) => {
            if let Ok(known) = postcard::from_bytes::<Suspect>(&body) {
                receive(core, &[known]);
            }
            match status {
                StatusCode::OK => Some(true),
                StatusCode::CONFLICT => Some(false),
                // A gateway of an earlier release does not decide.
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

/// Answers another gateway that asks: 200 if its copy may run, 409 if not, each with what is
/// known of the request.
pub(crate) async fn handle_admit(
    core: &Arc<Core>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let body = Limited::new(request.into_body(), MAX_MESSAGE_BYTES).collect();
    let suspect = match body.await {
        Ok(body) => postcard::from_bytes::<Suspect>(&body.to_bytes()).ok(),
        Err(_) => None,
    };
    let Some(suspect) = suspect else {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    let digest = suspect.digest;
    let before = core.quarantine.verdict(digest);
    receive(core, &[suspect]);
    let may = admit_locally(core, digest);
    let after = core.quarantine.verdict(digest);
    let is_new = matches!(after, Verdict::Convicted { .. }) && before.crashes() < after.crashes();
    if is_new {
        conviction::write(core, digest);
    }
    let known = core.quarantine.snapshot(digest);
    let known = postcard::to_stdvec(&known).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(known)));
    if !may {
        *response.status_mut() = StatusCode::CONFLICT;
    }
    response
}
