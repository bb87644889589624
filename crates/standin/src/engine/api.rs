//! An engine's HTTP interface.

use std::sync::Arc;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};

use crate::http::{self, Response};

use super::core::Core;
use super::order::Order;
use super::prompt::{Form, Prompt};
use super::stream;

/// Response header that names a stream for resume and cancel.
const STREAM_ID: &str = "x-stream-id";
/// Path prefix of streams.
const STREAMS: &str = "/v1/streams/";

/// Answers one request.
pub(crate) async fn answer(core: Arc<Core>, request: Request<Bytes>) -> Response {
    let path = request.uri().path();
    if let Some(id) = path.strip_prefix(STREAMS) {
        return resume(&core, &request, id);
    }
    match (request.method(), path) {
        (&Method::POST, "/v1/chat/completions") => complete(&core, &request, Form::Chat).await,
        (&Method::POST, "/v1/completions") => complete(&core, &request, Form::Text).await,
        (&Method::POST, "/v1/orders") => order(&core, &request),
        (&Method::GET, "/v1/models") => http::json(StatusCode::OK, &models(&core)),
        (&Method::GET, "/load") => http::json(StatusCode::OK, &*core.load.lock()),
        (&Method::GET, "/runs") => http::json(StatusCode::OK, &core.journal().runs()),
        (&Method::GET, "/stats") => http::json(StatusCode::OK, &core.journal().customer_stats()),
        _ => http::error(StatusCode::NOT_FOUND, "no such path"),
    }
}

async fn complete(core: &Arc<Core>, request: &Request<Bytes>, form: Form) -> Response {
    let body = match http::parse_json(request) {
        Ok(body) => body,
        Err(refusal) => return *refusal,
    };
    let prompt = match Prompt::parse(form, &body) {
        Ok(prompt) => prompt,
        Err(reason) => return http::error(StatusCode::BAD_REQUEST, reason),
    };
    if !core.orders.models().contains(&prompt.model) {
        return http::error(StatusCode::NOT_FOUND, "no such model");
    }
    let streamed = prompt.stream;
    let (id, stream) = core.admit(prompt);
    let mut reply = if streamed {
        sse(stream::events(&stream, 0, core.settings.resume_timeout))
    } else {
        match stream::whole(&stream).await {
            Some(answer) => http::json(StatusCode::OK, &answer),
            None => http::error(StatusCode::CONFLICT, "cancelled"),
        }
    };
    reply.headers_mut().insert(STREAM_ID, HeaderValue::from(id));
    reply
}

fn resume(core: &Core, request: &Request<Bytes>, id: &str) -> Response {
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
    let mut reply = Response::new(body);
    let kind = HeaderValue::from_static("text/event-stream");
    reply.headers_mut().insert(CONTENT_TYPE, kind);
    reply
}

fn order(core: &Core, request: &Request<Bytes>) -> Response {
    match serde_json::from_slice::<Order>(request.body()) {
        Ok(order) => core.orders.obey(order),
        Err(error) => http::error(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

fn models(core: &Core) -> Value {
    let models = core.orders.models();
    let data: Vec<Value> = models
        .iter()
        .map(|model| json!({"id": model, "object": "model", "created": 0, "owned_by": "standin"}))
        .collect();
    json!({"object": "list", "data": data})
}
