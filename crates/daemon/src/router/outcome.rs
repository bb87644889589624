//! Telling the outcome of a request by its id.

use std::sync::Arc;

use hyper::{HeaderMap, Response, StatusCode};
use mulberryyoke_model::{Attempt, Outcome};
use serde_json::json;

use super::answer::Answer;
use super::core::Core;
use super::refusal::{Refusal, json};
use super::request;

/// Answers a question for a request's outcome.
pub(crate) async fn tell(
    core: &Arc<Core>,
    id: &str,
    headers: &HeaderMap,
) -> Result<Response<Answer>, Refusal> {
    request::customer(&core.fleet.view(), headers)?;
    let attempt = Attempt::parse_request_id(id).ok_or_else(no_id)?;
    let outcome = core.fleet.outcome(attempt).await;
    let body = json!({"id": id, "outcome": outcome.as_str()});
    Ok(json(StatusCode::OK, body.to_string()))
}

/// What became of a request of this router: what it knows itself, else what the
/// sidecar tells that it was last sent to.
pub(crate) async fn own(core: &Core, attempt: Attempt) -> Outcome {
    if attempt.origin != core.origin() {
        return Outcome::Unknown;
    }
    let Some(record) = core.memory.get(attempt.request) else {
        return Outcome::Unknown;
    };
    if record.outcome != Outcome::Unknown {
        return record.outcome;
    }
    let Some(link) = record.server.and_then(|server| core.links.get(server)) else {
        return Outcome::Unknown;
    };
    let sent = Attempt {
        number: record.attempt,
        ..attempt
    };
    let told = link.outcome(sent, record.key).await;
    told.unwrap_or(Outcome::Unknown)
}

fn no_id() -> Refusal {
    Refusal::new(
        StatusCode::NOT_FOUND,
        "request_not_found",
        "no such request id",
    )
}
