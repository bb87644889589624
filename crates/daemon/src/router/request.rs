//! Reads and validates callers' requests.

use std::borrow::Cow;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, HeaderValue};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, StatusCode};
use mulberryyoke_decide::placement::PromptPrefix;
use mulberryyoke_decide::view::View;
use mulberryyoke_model::{Attempt, Class, Customer, CustomerId, KeyHash, KeyId, Millis, PoolId};
use serde::Deserialize;
use serde_json::value::RawValue;

use super::body;
use super::call::{Call, IdempotencyKey};
use super::core::Core;
use super::header;
use super::refusal::Refusal;
use crate::clock;

/// Cost of a model request that sets no token limit, in tokens.
const DEFAULT_COST: u32 = 256;

/// Length of the prompt prefix used for cache-aware placement, in bytes.
const PROMPT_PREFIX_BYTES: usize = 512;

const MAX_KEY_BYTES: usize = 255;

/// The fields of a model request that the router uses.
#[derive(Deserialize)]
struct Body<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
}

/// Routing target and cost of a request.
struct Target {
    pool: PoolId,
    idempotent: bool,
    cost: u32,
    prompt_prefix: Option<PromptPrefix>,
}

/// Returns the customer that the bearer key belongs to.
pub(crate) fn authenticate<'a>(
    view: &'a View,
    headers: &HeaderMap,
) -> Result<&'a Customer, Refusal> {
    let value = headers.get(AUTHORIZATION).ok_or_else(unauthorized)?;
    let value = value.to_str().map_err(|_| unauthorized())?;
    let (scheme, key) = value.split_once(' ').ok_or_else(unauthorized)?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return Err(unauthorized());
    }
    let customer = view.customer_by_key(&KeyHash::of(key.trim()));
    customer.ok_or_else(unauthorized)
}

/// Reads a request, including its whole body.
pub(crate) async fn read(
    core: &Arc<Core>,
    attempt: Attempt,
    request: Request<Incoming>,
) -> Result<Call, Refusal> {
    let received_at = clock::now();
    let view = core.fleet.view();
    let (mut parts, incoming) = request.into_parts();
    let customer = authenticate(&view, &parts.headers)?;
    let customer_id = CustomerId::of(&customer.name);
    let route = view.route(parts.method.as_str(), parts.uri.path());
    let is_model_request = is_model_path(parts.uri.path());
    if route.is_none() && !is_model_request {
        return Err(route_not_found());
    }
    let body = body::read(core, incoming).await?;
    let target = match route {
        Some((pool, route)) if !is_model_request => Target {
            pool: PoolId::of(&pool.name),
            idempotent: route.idempotent,
            cost: route.cost,
            prompt_prefix: None,
        },
        _ => model_target(&view, customer_id, &body.bytes)?,
    };
    let cost_hint = parse_u32(&parts.headers, header::COST_HINT)?;
    let deadline = deadline(core, &parts.headers, received_at)?;
    let class = class(&parts.headers, customer.class)?;
    let key = idempotency_key(&parts, customer_id, attempt, target.idempotent)?;
    let path = parts.uri.path_and_query();
    let path = path.map_or("/", |path| path.as_str()).to_owned();
    header::strip_request(&mut parts.headers);
    Ok(Call {
        attempt,
        customer: customer_id,
        share: customer.share,
        queue_limit: customer.queue,
        pool: target.pool,
        class,
        deadline,
        received_at,
        cost_hint: cost_hint.unwrap_or(0),
        cost: cost_hint.unwrap_or(target.cost).max(1),
        key,
        prompt_prefix: target.prompt_prefix,
        method: parts.method,
        path,
        headers: parts.headers,
        body: body.bytes,
        _body_memory: body.memory,
    })
}

fn is_model_path(path: &str) -> bool {
    matches!(path, "/v1/chat/completions" | "/v1/completions")
}

fn model_target(view: &View, customer: CustomerId, body: &[u8]) -> Result<Target, Refusal> {
    let request: Body = serde_json::from_slice(body).map_err(|error| invalid_json(&error))?;
    let pool = view.model_pool(&request.model);
    let pool = pool.ok_or_else(|| model_not_found(&request.model))?;
    let max_tokens = request.max_completion_tokens.or(request.max_tokens);
    let prefix = request.messages.or(request.prompt).map(|raw| {
        let bytes = raw.get().as_bytes();
        &bytes[..bytes.len().min(PROMPT_PREFIX_BYTES)]
    });
    Ok(Target {
        pool: PoolId::of(&pool.name),
        idempotent: true,
        cost: max_tokens.unwrap_or(DEFAULT_COST),
        prompt_prefix: prefix.map(|prefix| PromptPrefix::of(customer, prefix)),
    })
}

fn idempotency_key(
    parts: &Parts,
    customer: CustomerId,
    attempt: Attempt,
    idempotent: bool,
) -> Result<Option<IdempotencyKey>, Refusal> {
    let Some(value) = parts.headers.get(header::IDEMPOTENCY_KEY) else {
        let id = KeyId::of(customer, &attempt.request_id());
        return Ok((!idempotent).then_some(IdempotencyKey {
            id,
            from_caller: false,
        }));
    };
    let text = header_text(header::IDEMPOTENCY_KEY, value)?;
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Err(invalid_header(header::IDEMPOTENCY_KEY));
    }
    Ok(Some(IdempotencyKey {
        id: KeyId::of(customer, text),
        from_caller: true,
    }))
}

fn class(headers: &HeaderMap, default: Class) -> Result<Class, Refusal> {
    let Some(value) = headers.get(header::URGENCY) else {
        return Ok(default);
    };
    let class = Class::parse(header_text(header::URGENCY, value)?);
    class.ok_or_else(|| invalid_header(header::URGENCY))
}

fn deadline(core: &Core, headers: &HeaderMap, now: Millis) -> Result<Millis, Refusal> {
    let default = now.saturating_add(core.settings.limits.deadline_ms);
    let Some(value) = headers.get(header::DEADLINE) else {
        return Ok(default);
    };
    let deadline = header_text(header::DEADLINE, value)?.parse();
    deadline.map_err(|_| invalid_header(header::DEADLINE))
}

fn parse_u32(headers: &HeaderMap, name: &'static str) -> Result<Option<u32>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = header_text(name, value)?.parse();
    parsed.map(Some).map_err(|_| invalid_header(name))
}

fn header_text<'a>(name: &'static str, value: &'a HeaderValue) -> Result<&'a str, Refusal> {
    value.to_str().map_err(|_| invalid_header(name))
}

fn unauthorized() -> Refusal {
    let message = "the bearer key names no customer";
    Refusal::new(StatusCode::UNAUTHORIZED, "invalid_api_key", message)
}

fn route_not_found() -> Refusal {
    let message = "no such method and path; see /v1/models and the configured services";
    Refusal::new(StatusCode::NOT_FOUND, "route_not_found", message)
}

fn model_not_found(name: &str) -> Refusal {
    let message = format!("no such model: {name}");
    Refusal::new(StatusCode::NOT_FOUND, "model_not_found", message)
}

fn invalid_json(error: &serde_json::Error) -> Refusal {
    let message = format!("could not read body: {error}");
    Refusal::new(StatusCode::BAD_REQUEST, "invalid_json", message)
}

fn invalid_header(name: &'static str) -> Refusal {
    let message = format!("could not read header: {name}");
    Refusal::new(StatusCode::BAD_REQUEST, "invalid_header", message)
}
