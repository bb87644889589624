//! Responses of the gateway itself.

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::response_body::ResponseBody;

/// Why a request gets no response from a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// A header is missing or invalid.
    Malformed,
    BodyTooLarge,
    /// The body ended early.
    BodyTruncated,
    /// The body was not received before the deadline.
    BodyTimeout,
    /// No route matches the host and path.
    NoRoute,
    /// The key is missing or belongs to no customer.
    UnknownCustomer,
    /// No configuration is known, or it is too old.
    NoConfiguration,
    /// No server of the pool is available; with the retry delay in milliseconds.
    NoServer(u32),
    /// Every server of the pool asks for pushback; with the retry delay in milliseconds.
    Pushback(u32),
    /// No server can meet the latency objective, or none has memory for the prompt now; with the retry
    /// delay in milliseconds.
    Busy(u32),
    /// The prompt is larger than the memory of any server.
    TooLarge,
    /// The customer exceeds its share; with the retry delay in milliseconds.
    OverShare(u32),
    /// There is no room to hold the request's body; with the retry delay in milliseconds.
    MemoryShort(u32),
    /// The version that began the stream is not known, and servers of several versions may have.
    VersionUnknown,
    /// As [`Self::VersionUnknown`], but a gateway that may know it could not be asked.
    VersionUnanswered,
    /// No server of the version that began the stream is left.
    VersionGone,
    /// Servers rejected the request and no attempt is left.
    Rejected,
    /// The gateway is shutting down.
    Stopping,
    /// The request crashes servers, or is suspected of it while another copy runs.
    Quarantined,
    /// Servers crash on a part of the prompt.
    PartQuarantined,
    /// The request was sent and may have run.
    OutcomeUnknown,
    /// A server's response doesn't belong to this request.
    InvalidResponse,
    /// The deadline has passed and a server may still run the request.
    TimedOut,
}

/// Retry delay after a temporary fault, in milliseconds.
const FAULT_RETRY_AFTER_MS: u32 = 200;

impl Refusal {
    /// No server is available for a reason that is expected to be short.
    pub(crate) const NO_SERVER: Self = Self::NoServer(FAULT_RETRY_AFTER_MS);

    /// Status code. 429 and 503 promise that the request has not run and never will.
    pub(crate) const fn status(self) -> StatusCode {
        match self {
            Self::Malformed | Self::BodyTruncated => StatusCode::BAD_REQUEST,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownCustomer => StatusCode::UNAUTHORIZED,
            Self::OverShare(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::NoConfiguration
            | Self::NoServer(_)
            | Self::Pushback(_)
            | Self::Busy(_)
            | Self::TooLarge
            | Self::MemoryShort(_)
            | Self::VersionUnknown
            | Self::VersionUnanswered
            | Self::VersionGone
            | Self::PartQuarantined
            | Self::Rejected
            | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            // A quarantined request has run under an earlier ID, which rules out 503.
            Self::Quarantined | Self::OutcomeUnknown | Self::InvalidResponse => {
                StatusCode::BAD_GATEWAY
            }
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Code in logs, metrics and response bodies.
    pub(crate) const fn code(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyTruncated => "body_cut",
            Self::BodyTimeout => "body_slow",
            Self::NoRoute => "no_route",
            Self::UnknownCustomer => "no_customer",
            Self::NoConfiguration => "no_configuration",
            Self::NoServer(_) => "no_server",
            Self::Pushback(_) => "resting",
            Self::Busy(_) => "busy",
            Self::TooLarge => "too_large",
            Self::OverShare(_) => "over_share",
            Self::MemoryShort(_) => "memory_short",
            Self::VersionUnknown => "version_unknown",
            Self::VersionUnanswered => "version_unanswered",
            Self::VersionGone => "version_gone",
            Self::Rejected => "turned_away",
            Self::Stopping => "stopping",
            Self::Quarantined => "quarantined",
            Self::PartQuarantined => "part_quarantined",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::InvalidResponse => "garbled_answer",
            Self::TimedOut => "timed_out",
        }
    }

    /// Delay before the caller should retry, in milliseconds.
    pub(crate) const fn retry_after_ms(self) -> Option<u32> {
        match self {
            Self::NoServer(ms)
            | Self::Pushback(ms)
            | Self::Busy(ms)
            | Self::OverShare(ms)
            | Self::MemoryShort(ms) => Some(ms),
            Self::NoConfiguration | Self::VersionUnanswered | Self::Rejected | Self::Stopping => {
                Some(FAULT_RETRY_AFTER_MS)
            }
            _ => None,
        }
    }

    /// Builds the response to the caller.
    pub(crate) fn into_response(self) -> Response<ResponseBody> {
        let body = format!("{{\"error\":\"{}\"}}\n", self.code());
        let mut response = Response::new(ResponseBody::full(Bytes::from(body)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(ms) = self.retry_after_ms() {
            let text = format!("{}.{:03}", ms / 1_000, ms % 1_000);
            let value = HeaderValue::from_str(&text).expect("digits are a header value");
            headers.insert(RETRY_AFTER, value);
        }
        response
    }
}
