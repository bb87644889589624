//! Error responses in the format of the `OpenAI` API, with the request's outcome.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use mulberryyoke_model::Outcome;
use serde_json::json;

use super::response_body::ResponseBody;

/// Response header with the outcome of a refused request.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("x-outcome");

/// Response header with the request id.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// An error response.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    /// Known outcome of the request.
    pub(crate) outcome: Outcome,
    /// Machine-readable error code.
    pub(crate) code: &'static str,
    /// Human-readable message.
    pub(crate) message: String,
    /// Value of `Retry-After`, in seconds.
    pub(crate) retry_after: Option<u32>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub(crate) fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            outcome: Outcome::NotRun,
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Sets `Retry-After`.
    pub(crate) fn retry_after(mut self, seconds: u32) -> Self {
        self.retry_after = Some(seconds);
        self
    }

    /// Sets the outcome; the default is [`Outcome::NotRun`].
    pub(crate) fn outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Builds the response, with the request id if there is one.
    pub(crate) fn into_response(self, id: Option<&str>) -> Response<ResponseBody> {
        let body = json!({"error": {
            "message": self.message,
            "type": error_type(self.status),
            "param": null,
            "code": self.code,
        }});
        let mut response = json_response(self.status, body.to_string());
        let headers = response.headers_mut();
        headers.insert(OUTCOME, HeaderValue::from_static(self.outcome.as_str()));
        if let Some(seconds) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        if let Some(id) = id.and_then(|id| HeaderValue::from_str(id).ok()) {
            headers.insert(REQUEST_ID, id);
        }
        response
    }
}

fn error_type(status: StatusCode) -> &'static str {
    match status {
        StatusCode::UNAUTHORIZED => "authentication_error",
        StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
        status if status.is_client_error() => "invalid_request_error",
        _ => "server_error",
    }
}

/// Builds a JSON response.
pub(crate) fn json_response(status: StatusCode, body: String) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Full(Full::new(Bytes::from(body))));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
