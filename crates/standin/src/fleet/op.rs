//! One thing that a caller wants done.

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

/// Mean length of an answer, in tokens.
pub(crate) const MEAN_TOKENS: f64 = 40.0;
/// Longest answer, in tokens.
const MAX_TOKENS: f64 = 400.0;
/// Spread of lengths and of hints, as standard deviations of the logarithm.
const SPREAD: f64 = 0.8;
const HINT_SPREAD: f64 = 0.5;
/// First letter of the numbers of a flood's requests.
pub(crate) const FLOOD: &str = "f";
/// Deadline of deferrable work, in milliseconds after it is asked for.
const DEFERRABLE_MS: u64 = 60_000;

/// What is wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationKind {
    /// A model answer of a number of tokens.
    Chat {
        /// Tokens of the answer.
        tokens: u32,
        /// Whether it is streamed.
        streamed: bool,
    },
    /// A call that must run at most once.
    Booking,
}

/// One thing that a caller wants done, perhaps by several attempts.
#[derive(Clone, Debug)]
pub(crate) struct Op {
    pub(crate) customer: usize,
    pub(crate) id: String,
    pub(crate) class: Class,
    pub(crate) work: OperationKind,
    /// Whether every attempt carries the same `Idempotency-Key`.
    pub(crate) keyed: bool,
    /// Whether it is part of a flood.
    pub(crate) flood: bool,
    hint: u32,
    deadline: Option<u64>,
}

impl Op {
    /// Draws a model request.
    pub(crate) fn chat(plan: &Plan, customer: usize, number: &str, rng: &mut StdRng) -> Self {
        let tokens = draw(rng, MEAN_TOKENS, SPREAD);
        let work = OperationKind::Chat {
            tokens,
            streamed: rng.random_bool(0.8),
        };
        let rough = f64::from(tokens) * plan.customers[customer].hint;
        let hint = draw(rng, rough, HINT_SPREAD);
        let keyed = rng.random_bool(0.02);
        Self::new(plan, customer, number, work, keyed, hint, rng)
    }

    /// Draws a call of the plain service.
    pub(crate) fn booking(plan: &Plan, customer: usize, number: &str, rng: &mut StdRng) -> Self {
        let keyed = rng.random_bool(0.9);
        Self::new(
            plan,
            customer,
            number,
            OperationKind::Booking,
            keyed,
            0,
            rng,
        )
    }

    fn new(
        plan: &Plan,
        customer: usize,
        number: &str,
        work: OperationKind,
        keyed: bool,
        hint: u32,
        rng: &mut StdRng,
    ) -> Self {
        let class = match rng.random_range(0..10) {
            0..2 => Class::Urgent,
            2..7 => Class::Normal,
            _ => Class::Deferrable,
        };
        Self {
            customer,
            id: format!("{}/{number}", plan.customers[customer].name),
            class,
            work,
            keyed,
            flood: number.starts_with(FLOOD),
            hint,
            deadline: (class == Class::Deferrable).then(|| now() + DEFERRABLE_MS),
        }
    }

    /// Whether running twice would do harm.
    pub(crate) fn is_once(&self) -> bool {
        self.keyed || self.work == OperationKind::Booking
    }

    /// Identity that the backend notes. Attempts without a key differ in it.
    pub(crate) fn attempt(&self, number: usize) -> String {
        if self.keyed {
            return self.id.clone();
        }
        format!("{}.{number}", self.id)
    }

    /// The request of an attempt, without authority.
    pub(crate) fn request(&self, plan: &Plan, attempt: &str) -> Request<Full<Bytes>> {
        let (path, body) = match self.work {
            OperationKind::Booking => (plan.path, json!({"op": attempt})),
            OperationKind::Chat { tokens, streamed } => {
                let body = body(plan.model, self.customer, attempt, tokens, streamed);
                ("/v1/chat/completions", body)
            }
        };
        let mut request = post(path, &body);
        let headers = request.headers_mut();
        let word = HeaderValue::from_static(self.class.as_str());
        headers.insert("x-urgency", word);
        if self.hint > 0 {
            headers.insert("x-cost-hint", HeaderValue::from(self.hint));
        }
        if let Some(deadline) = self.deadline {
            headers.insert("x-deadline", HeaderValue::from(deadline));
        }
        if self.keyed {
            let key = HeaderValue::try_from(&self.id);
            headers.insert("idempotency-key", key.expect("ids are plain text"));
        }
        request
    }
}

/// A request with a JSON body, without authority.
pub(crate) fn post(path: &str, body: &Value) -> Request<Full<Bytes>> {
    let body = Full::new(Bytes::from(body.to_string()));
    let request = Request::post(path).header(CONTENT_TYPE, "application/json");
    request.body(body).expect("paths are plain text")
}

/// Body of a model request; requests of one customer share a prompt prefix.
pub(crate) fn body(model: &str, customer: usize, op: &str, tokens: u32, stream: bool) -> Value {
    let rules = format!("You answer for customer {customer}. ").repeat(8);
    json!({
        "model": model,
        "stream": stream,
        "messages": [
            {"role": "system", "content": rules},
            {"role": "user", "content": format!("Please answer {op}.")},
        ],
        "standin": {"op": op, "tokens": tokens},
    })
}

/// Draws from a log-normal distribution with a mean, at least 1.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "bounded just before"
)]
fn draw(rng: &mut StdRng, mean: f64, spread: f64) -> u32 {
    let location = mean.ln() - spread * spread / 2.0;
    let lengths = LogNormal::new(location, spread).expect("the spread is finite");
    lengths.sample(rng).clamp(1.0, MAX_TOKENS) as u32
}
