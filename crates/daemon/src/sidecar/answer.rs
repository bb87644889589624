//! The sidecar's own answers.

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::RETRY_AFTER;
use hyper::{Response, StatusCode};
use mulberryyoke_decide::key;
use mulberryyoke_model::Millis;
use mulberryyoke_wire::{Verdict, verdict};

use super::relay::Cut;
use crate::clock;

/// Response header of an answer given again.
pub(crate) const REPLAY: &str = "idempotent-replay";

/// Body of an answer.
pub(crate) type Body = BoxBody<Bytes, Cut>;

/// A body that is known.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// A refusal.
pub(crate) fn refuse(verdict: Verdict, retry_at: Option<Millis>) -> Response<Body> {
    let mut response = Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .header(verdict::HEADER, verdict.as_str());
    if let Some(at) = retry_at {
        let seconds = at.saturating_sub(clock::now()).div_ceil(1_000);
        response = response.header(RETRY_AFTER, seconds);
    }
    response
        .body(full(Bytes::new()))
        .expect("a verdict makes a valid header")
}

/// The answer that a request with the same key got.
pub(crate) fn replay(answer: &key::Response) -> Response<Body> {
    let mut response = Response::builder()
        .status(answer.status)
        .header(REPLAY, "true");
    for (name, value) in &answer.headers {
        response = response.header(name.as_str(), value.as_slice());
    }
    response
        .body(full(answer.body.clone()))
        .expect("a kept answer has valid headers")
}
