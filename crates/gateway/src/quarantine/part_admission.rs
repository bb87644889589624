//! Admission of requests with quarantined prompt parts.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use mulberryyoke_decide::quarantine::Verdict;
use mulberryyoke_decide::quarantine::parts::{Report, Subject, digest};
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::VersionId;
use smallvec::SmallVec;
use tokio::time::Instant;

use super::admit::CALL_TIMEOUT;
use super::parts::receive;
use crate::call::Call;
use crate::clock;
use crate::core::Core;
use crate::peer_call;

/// Path of the endpoint that decides for other gateways whether a prompt part may be tried.
pub(crate) const PATH: &str = "/quarantine/parts/admit";

/// Versions at which a prompt may not run because of its parts.
pub(crate) type Barred = SmallVec<[VersionId; 2]>;

/// Whether a request's prompt parts permit it to be sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Admission {
    /// Versions whose servers may not run it.
    pub(crate) barred: Barred,
    /// Whether it is the one copy in the fleet by which a part is tried.
    pub(crate) is_trial: bool,
}

/// Decides which servers may run a request because of its prompt's parts. If `is_trial`, the request
/// was admitted as a trial before and has not run since.
pub(crate) async fn admit(core: &Arc<Core>, call: &Call, is_trial: bool) -> Admission {
    let verdicts = core.quarantine.parts.verdicts(call);
    let mut admission = Admission {
        barred: convicted(&verdicts),
        is_trial: false,
    };
    for (subject, verdict) in verdicts {
        let is_due = matches!(verdict, Verdict::Suspect { .. });
        if !is_due || admission.barred.contains(&subject.version) {
            continue;
        }
        if is_trial || try_part(core, subject).await {
            admission.is_trial = true;
        } else {
            admission.barred.push(subject.version);
        }
    }
    admission
}

/// Versions at which a request may not run now, whether or not a trial is due.
pub(crate) fn barred(core: &Core, call: &Call) -> Barred {
    convicted(&core.quarantine.parts.verdicts(call))
}

fn convicted(verdicts: &[(Subject, Verdict)]) -> Barred {
    let convicted = verdicts
        .iter()
        .filter(|(_, verdict)| matches!(verdict, Verdict::Convicted { .. }));
    convicted.map(|(subject, _)| subject.version).collect()
}

/// Whether this gateway's copy may be the one by which a part is tried. Each gateway asks for one
/// at a time, and one gateway, the arbiter, permits one in the fleet.
async fn try_part(core: &Arc<Core>, subject: Subject) -> bool {
    if !try_locally(core, subject) {
        return false;
    }
    match core.exchange.arbiter(digest(subject.part)) {
        None => true,
        Some(arbiter) => ask(core, arbiter, subject).await,
    }
}

fn try_locally(core: &Core, subject: Subject) -> bool {
    let parts = &core.quarantine.parts;
    parts.update(|table| table.admit(subject, clock::now_ms()))
}

/// Asks the arbiter. Without an answer the part is not tried.
async fn ask(core: &Arc<Core>, arbiter: SocketAddr, subject: Subject) -> bool {
    let report = core.quarantine.parts.report(subject);
    let deadline = (Instant::now() + CALL_TIMEOUT).into_std();
    let client = &core.quarantine.http;
    match peer_call::send(client, arbiter, PATH, &report, deadline).await {
        Ok((status, body)) => {
            if let Ok(report) = postcard::from_bytes::<Report>(&body) {
                receive(core, &[report]);
            }
            status == StatusCode::OK
        }
        Err(failure) => {
            log!(core.logger, Event::AdmitFailed,
                "address" => arbiter.to_string(), "error" => failure.cause.to_string());
            false
        }
    }
}

/// Handles a call by another gateway: responds with 200 if its copy may run and with 409 if not,
/// and in either case with the record of the part.
pub(crate) async fn handle_admit(
    core: &Arc<Core>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let Some(report) = peer_call::read::<Report>(core, request).await else {
        return peer_call::bad_request();
    };
    let subject = report.subject;
    receive(core, &[report]);
    let status = if try_locally(core, subject) {
        StatusCode::OK
    } else {
        StatusCode::CONFLICT
    };
    peer_call::response(status, &core.quarantine.parts.report(subject))
}

/// Logs that no server may run a request because of its prompt's parts.
pub(crate) fn log_withheld(core: &Core, call: &Call) {
    metrics::counter!("quarantine_withheld_total", "verdict" => "part").increment(1);
    for (subject, verdict) in core.quarantine.parts.verdicts(call) {
        log!(core.logger, Event::PartWithheld,
            "request" => &call.id,
            "part" => subject.part.to_string(),
            "version" => subject.version.0,
            "ended" => verdict.crashes());
    }
}
