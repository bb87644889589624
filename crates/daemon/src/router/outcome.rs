//! Looks up the outcome of a request by its id.

use std::sync::Arc;

use hyper::{HeaderMap, Response, StatusCode};
use mulberryyoke_model::{Attempt, Outcome};
use serde_json::json;

use super::core::Core;
use super::refusal::{Refusal, json_response};
use super::request;
use super::response_body::ResponseBody;

/// Answers an outcome query.
pub(crate) async fn serve(
    core: &Arc<Core>,
    id: &str,
    headers: &HeaderMap,
) -> Result<Response<ResponseBody>, Refusal> {
    request::authenticate(&core.fleet.view(), headers)?;
    let attempt = Attempt::parse_request_id(id).ok_or_else(request_not_found)?;
    let outcome = core.fleet.outcome(attempt).await;
    let body = json!({"id": id, "outcome": outcome.as_str()});
    Ok(json_response(StatusCode::OK, body.to_string()))
}

/// Returns the outcome of a request of this router: from its own record, otherwise
/// from the sidecar that received the last attempt.
pub(crate) async fn local(core: &Core, attempt: Attempt) -> Outcome {
    if attempt.origin != core.incarnation() {
        return Outcome::Unknown;
    }
    let Some(record) = core.requests.get(attempt.request) else {
        return Outcome::Unknown;
    };
    if record.outcome != Outcome::Unknown {
        return record.outcome;
    }
    let Some(link) = record.server.and_then(|server| core.links.get(server)) else {
        return Outcome::Unknown;
    };
    let last_attempt = Attempt {
        number: record.attempt,
        ..attempt
    };
    let outcome = link.outcome(last_attempt, record.key).await;
    outcome.unwrap_or(Outcome::Unknown)
}

fn request_not_found() -> Refusal {
    Refusal::new(
        StatusCode::NOT_FOUND,
        "request_not_found",
        "no such request id",
    )
}
