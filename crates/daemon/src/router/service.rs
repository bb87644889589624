//! The callers' interface, by path.

use std::convert::Infallible;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Attempt, Outcome};
use serde_json::json;

use super::answer::Answer;
use super::core::Core;
use super::dispatch;
use super::outcome;
use super::refusal::{Refusal, json};
use super::request;
use super::wait;

/// Path of the list of models.
const MODELS: &str = "/v1/models";

/// Path below which outcomes are told by request id.
const OUTCOMES: &str = "/v1/outcomes/";

/// Answers one request.
pub(crate) async fn serve(
    core: Arc<Core>,
    request: Request<Incoming>,
) -> Result<Response<Answer>, Infallible> {
    if request.method() == Method::GET {
        if request.uri().path() == MODELS {
            return Ok(
                models(&core, &request).unwrap_or_else(|refusal| refusal.into_response(None))
            );
        }
        if let Some(id) = request.uri().path().strip_prefix(OUTCOMES) {
            let id = id.to_owned();
            let told = outcome::tell(&core, &id, request.headers()).await;
            return Ok(told.unwrap_or_else(|refusal| refusal.into_response(Some(&id))));
        }
    }
    Ok(run(&core, request).await)
}

async fn run(core: &Arc<Core>, request: Request<Incoming>) -> Response<Answer> {
    let attempt = Attempt {
        origin: core.origin(),
        request: core.memory.open(),
        number: 0,
    };
    metrics::counter!("requests_total").increment(1);
    let answer = match read(core, attempt, request).await {
        Ok(call) => dispatch::answer(core, call).await,
        Err(refusal) => Err(note(core, attempt, refusal)),
    };
    let id = attempt.request_id();
    answer.unwrap_or_else(|refusal| refusal.into_response(Some(&id)))
}

async fn read(
    core: &Arc<Core>,
    attempt: Attempt,
    request: Request<Incoming>,
) -> Result<super::call::Call, Refusal> {
    if core.stop.refuse.is_cancelled() {
        return Err(wait::stopping());
    }
    request::read(core, attempt, request).await
}

/// Records a refusal of a request that was not even read.
fn note(core: &Core, attempt: Attempt, refusal: Refusal) -> Refusal {
    core.memory.settle(attempt.request, Outcome::NotRun);
    metrics::counter!("refused_total", "code" => refusal.code).increment(1);
    log!(core.logger, Event::Refused,
        "request" => attempt.request_id(),
        "code" => refusal.code,
        "outcome" => refusal.outcome.word());
    refusal
}

fn models(core: &Core, request: &Request<Incoming>) -> Result<Response<Answer>, Refusal> {
    let view = core.fleet.view();
    request::customer(&view, request.headers())?;
    let mut names: Vec<&str> = view.models().map(|pool| pool.name.as_str()).collect();
    names.sort_unstable();
    let models = names.into_iter().map(
        |name| json!({"id": name, "object": "model", "created": 0, "owned_by": "mulberryyoke"}),
    );
    let models: Vec<_> = models.collect();
    let list = json!({"object": "list", "data": models});
    Ok(json(StatusCode::OK, list.to_string()))
}
