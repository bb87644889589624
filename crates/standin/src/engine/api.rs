//! HTTP API of an engine.

use std::sync::Arc;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};

use crate::http::{self, Response};

use super::command::Command;
use super::core::Core;
use super::prompt::{Api, Prompt};
use super::stream;

/// Response header with the ID of a stream, by which it can be resumed or cancelled.
const STREAM_ID: &str = "x-stream-id";
/// Path prefix of streams.
const STREAM_PREFIX: &str = "/v1/streams/";

/// Handles a request.
pub(crate) async fn respond(core: Arc<Core>, request: Request<Bytes>) -> Response {
    let path = request.uri().path();
    if let Some(id) = path.strip_prefix(STREAM_PREFIX) {
        return resume_or_cancel(&core, &request, id);
    }
    match (request.method(), path) {
        (&Method::POST, "/v1/chat/completions") => complete(&core, &request, Api::Chat).await,
        (&Method::POST, "/v1/completions") => complete(&core, &request, Api::Completions).await,
        (&Method::POST, "/v1/orders") => command(&core, &request),
        (&Method::GET, "/v1/models") => http::json(StatusCode::OK, &models(&core)),
        (&Method::GET, "/load") => http::json(StatusCode::OK, &*core.load.lock()),
        (&Method::GET, "/runs") => http::json(StatusCode::OK, &core.journal().runs()),
        (&Method::GET, "/stats") => http::json(StatusCode::OK, &core.journal().customer_stats()),
        _ => http::error(StatusCode::NOT_FOUND, "no such path"),
    }
}

async fn complete(core: &Arc<Core>, request: &Request<Bytes>, api: Api) -> Response {
    let body = match http::parse_json(request) {
        Ok(body) => body,
        Err(response) => return *response,
    };
    let prompt = match Prompt::parse(api, &body) {
        Ok(prompt) => prompt,
        Err(reason) => return http::error(StatusCode::BAD_REQUEST, reason),
    };
    if !core.config.models().contains(&prompt.model) {
        return http::error(StatusCode::NOT_FOUND, "no such model");
    }
    let is_streamed = prompt.is_streamed;
    let (id, stream) = core.admit(prompt);
    let mut response = if is_streamed {
        sse(stream::events(&stream, 0, core.settings.resume_timeout))
    } else {
        match stream::completion(&stream).await {
            Some(completion) => http::json(StatusCode::OK, &completion),
            None => http::error(StatusCode::CONFLICT, "cancelled"),
        }
    };
    response
        .headers_mut()
        .insert(STREAM_ID, HeaderValue::from(id));
    response
}

fn resume_or_cancel(core: &Core, request: &Request<Bytes>, id: &str) -> Response {
    let stream = id.parse().ok().and_then(|id| core.stream(id));
    let Some(stream) = stream else {
        return http::error(StatusCode::NOT_FOUND, "no such stream");
    };
    if request.method() == Method::DELETE {
        stream.cancel.cancel();
        return http::json(StatusCode::OK, &json!({"cancelled": true}));
    }
    let query = request.uri().query().unwrap_or_default();
    let from = query.strip_prefix("from=").unwrap_or("0");
    let Ok(from) = from.parse() else {
        return http::error(StatusCode::BAD_REQUEST, "from is not a token index");
    };
    sse(stream::events(&stream, from, core.settings.resume_timeout))
}

fn sse(body: http::Body) -> Response {
    let mut response = Response::new(body);
    let content_type = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

fn command(core: &Core, request: &Request<Bytes>) -> Response {
    match serde_json::from_slice::<Command>(request.body()) {
        Ok(command) => core.config.apply(command),
        Err(error) => http::error(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

fn models(core: &Core) -> Value {
    let models = core.config.models();
    let data: Vec<Value> = models
        .iter()
        .map(|model| json!({"id": model, "object": "model", "created": 0, "owned_by": "standin"}))
        .collect();
    json!({"object": "list", "data": data})
}
