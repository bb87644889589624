//! HTTP service for callers.

use std::convert::Infallible;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Version};
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Attempt, Outcome};
use serde_json::json;

use super::call::Call;
use super::core::Core;
use super::dispatch;
use super::outcome;
use super::queueing;
use super::refusal::{Refusal, json_response};
use super::request;
use super::response_body::ResponseBody;

const MODELS: &str = "/v1/models";

/// Path prefix of outcome queries; the request id follows.
const OUTCOMES: &str = "/v1/outcomes/";

/// Handles one request.
pub(crate) async fn serve(
    core: Arc<Core>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let is_http1 = request.version() < Version::HTTP_2;
    let mut response = respond(&core, request).await;
    if is_http1 && core.shutdown.refuse.is_cancelled() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

async fn respond(core: &Arc<Core>, request: Request<Incoming>) -> Response<ResponseBody> {
    if request.method() != Method::GET {
        return forward(core, request).await;
    }
    if request.uri().path() == MODELS {
        return list_models(core, &request).unwrap_or_else(|refusal| refusal.into_response(None));
    }
    let Some(id) = request.uri().path().strip_prefix(OUTCOMES) else {
        return forward(core, request).await;
    };
    let id = id.to_owned();
    let response = outcome::serve(core, &id, request.headers()).await;
    response.unwrap_or_else(|refusal| refusal.into_response(Some(&id)))
}

async fn forward(core: &Arc<Core>, request: Request<Incoming>) -> Response<ResponseBody> {
    let attempt = Attempt {
        origin: core.incarnation(),
        request: core.requests.insert(),
        number: 0,
    };
    metrics::counter!("requests_total").increment(1);
    let response = match read_call(core, attempt, request).await {
        Ok(call) => dispatch::answer(core, call).await,
        Err(refusal) => Err(record_refusal(core, attempt, refusal)),
    };
    let id = attempt.request_id();
    response.unwrap_or_else(|refusal| refusal.into_response(Some(&id)))
}

async fn read_call(
    core: &Arc<Core>,
    attempt: Attempt,
    request: Request<Incoming>,
) -> Result<Call, Refusal> {
    if core.shutdown.refuse.is_cancelled() {
        return Err(queueing::stopping());
    }
    request::read(core, attempt, request).await
}

/// Records a refusal of a request that failed validation.
fn record_refusal(core: &Core, attempt: Attempt, refusal: Refusal) -> Refusal {
    core.requests.set_outcome(attempt.request, Outcome::NotRun);
    metrics::counter!("refused_total", "code" => refusal.code).increment(1);
    log!(core.logger, Event::Refused,
        "request" => attempt.request_id(),
        "code" => refusal.code,
        "outcome" => refusal.outcome.as_str());
    refusal
}

fn list_models(
    core: &Core,
    request: &Request<Incoming>,
) -> Result<Response<ResponseBody>, Refusal> {
    let view = core.fleet.view();
    request::authenticate(&view, request.headers())?;
    let mut names: Vec<&str> = view.model_pools().map(|pool| pool.name.as_str()).collect();
    names.sort_unstable();
    let models = names.into_iter().map(
        |name| json!({"id": name, "object": "model", "created": 0, "owned_by": "mulberryyoke"}),
    );
    let models: Vec<_> = models.collect();
    let list = json!({"object": "list", "data": models});
    Ok(json_response(StatusCode::OK, list.to_string()))
}
