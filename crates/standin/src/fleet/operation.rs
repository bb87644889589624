//! Operations that callers request.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use mulberryyoke_model::Class;
use rand::RngExt;
use rand::rngs::StdRng;
use rand_distr::{Distribution, LogNormal};
use serde_json::{Value, json};

use crate::journal::now;

use super::plan::Plan;

/// Mean length of a model response, in tokens.
pub(crate) const MEAN_TOKENS: f64 = 40.0;
/// Maximum length of a model response, in tokens.
const MAX_TOKENS: f64 = 400.0;
/// Standard deviation of the logarithm of response lengths.
const LENGTH_SIGMA: f64 = 0.8;
/// Standard deviation of the logarithm of cost hints.
const HINT_SIGMA: f64 = 0.5;
/// Prefix of the names of a flood's operations.
pub(crate) const FLOOD_PREFIX: &str = "f";
/// Time until the deadline of deferrable operations, in milliseconds.
const DEFERRABLE_DEADLINE_MS: u64 = 60_000;

/// Kind of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationKind {
    /// A model request.
    Chat {
        /// Length of the response, in tokens.
        tokens: u32,
        /// Whether the response is streamed.
        streamed: bool,
    },
    /// A call of the plain service, which is not idempotent.
    Booking,
}

/// An operation that a caller requests, in one or more attempts.
#[derive(Clone, Debug)]
pub(crate) struct Operation {
    pub(crate) customer: usize,
    pub(crate) id: String,
    pub(crate) class: Class,
    pub(crate) kind: OperationKind,
    /// Whether every attempt has the same `Idempotency-Key`.
    pub(crate) has_idempotency_key: bool,
    /// Whether it is part of a flood.
    pub(crate) is_flood: bool,
    cost_hint: u32,
    deadline: Option<u64>,
}

impl Operation {
    /// Generates a model request.
    pub(crate) fn chat(plan: &Plan, customer: usize, name: &str, rng: &mut StdRng) -> Self {
        let tokens = sample_log_normal(rng, MEAN_TOKENS, LENGTH_SIGMA);
        let kind = OperationKind::Chat {
            tokens,
            streamed: rng.random_bool(0.8),
        };
        let mean_hint = f64::from(tokens) * plan.customers[customer].hint_factor;
        let cost_hint = sample_log_normal(rng, mean_hint, HINT_SIGMA);
        let has_idempotency_key = rng.random_bool(0.02);
        Self::new(
            plan,
            customer,
            name,
            kind,
            has_idempotency_key,
            cost_hint,
            rng,
        )
    }

    /// Generates a call of the plain service.
    pub(crate) fn booking(plan: &Plan, customer: usize, name: &str, rng: &mut StdRng) -> Self {
        let has_idempotency_key = rng.random_bool(0.9);
        let kind = OperationKind::Booking;
        Self::new(plan, customer, name, kind, has_idempotency_key, 0, rng)
    }

    fn new(
        plan: &Plan,
        customer: usize,
        name: &str,
        kind: OperationKind,
        has_idempotency_key: bool,
        cost_hint: u32,
        rng: &mut StdRng,
    ) -> Self {
        let class = match rng.random_range(0..10) {
            0..2 => Class::Urgent,
            2..7 => Class::Normal,
            _ => Class::Deferrable,
        };
        Self {
            customer,
            id: format!("{}/{name}", plan.customers[customer].name),
            class,
            kind,
            has_idempotency_key,
            is_flood: name.starts_with(FLOOD_PREFIX),
            cost_hint,
            deadline: (class == Class::Deferrable).then(|| now() + DEFERRABLE_DEADLINE_MS),
        }
    }

    /// Whether it must not run more than once.
    pub(crate) fn runs_at_most_once(&self) -> bool {
        self.has_idempotency_key || self.kind == OperationKind::Booking
    }

    /// ID of an attempt, which the backend records. Attempts with an idempotency key share one ID.
    pub(crate) fn attempt_id(&self, number: usize) -> String {
        if self.has_idempotency_key {
            return self.id.clone();
        }
        format!("{}.{number}", self.id)
    }

    /// Builds the request of an attempt, without an authority.
    pub(crate) fn request(&self, plan: &Plan, attempt_id: &str) -> Request<Full<Bytes>> {
        let (path, body) = match self.kind {
            OperationKind::Booking => (plan.booking_path, json!({"op": attempt_id})),
            OperationKind::Chat { tokens, streamed } => {
                let customer = self.customer;
                let body = chat_body(plan.model_pool, customer, attempt_id, tokens, streamed);
                ("/v1/chat/completions", body)
            }
        };
        let mut request = post_json(path, &body);
        let headers = request.headers_mut();
        let class = HeaderValue::from_static(self.class.as_str());
        headers.insert("x-urgency", class);
        if self.cost_hint > 0 {
            headers.insert("x-cost-hint", HeaderValue::from(self.cost_hint));
        }
        if let Some(deadline) = self.deadline {
            headers.insert("x-deadline", HeaderValue::from(deadline));
        }
        if self.has_idempotency_key {
            let key = HeaderValue::try_from(&self.id);
            headers.insert("idempotency-key", key.expect("IDs are valid header values"));
        }
        request
    }
}

/// Builds a POST request with a JSON body, without an authority.
pub(crate) fn post_json(path: &str, body: &Value) -> Request<Full<Bytes>> {
    let body = Full::new(Bytes::from(body.to_string()));
    let request = Request::post(path).header(CONTENT_TYPE, "application/json");
    request.body(body).expect("the path is valid")
}

/// Builds the body of a model request. Requests of one customer share a prompt prefix.
pub(crate) fn chat_body(
    model: &str,
    customer: usize,
    op: &str,
    tokens: u32,
    streamed: bool,
) -> Value {
    let system_prompt = format!("You answer for customer {customer}. ").repeat(8);
    json!({
        "model": model,
        "stream": streamed,
        "messages": [
            {"role": "system", "content": system_prompt},
            {"role": "user", "content": format!("Please answer {op}.")},
        ],
        "standin": {"op": op, "tokens": tokens},
    })
}

/// Samples a log-normal distribution with this mean, clamped to `1..=MAX_TOKENS`.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped before the cast"
)]
fn sample_log_normal(rng: &mut StdRng, mean: f64, sigma: f64) -> u32 {
    let mu = mean.ln() - sigma * sigma / 2.0;
    let distribution = LogNormal::new(mu, sigma).expect("sigma is finite");
    distribution.sample(rng).clamp(1.0, MAX_TOKENS) as u32
}
