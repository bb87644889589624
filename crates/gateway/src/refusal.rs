//! Answers of the router's own.

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::response_body::ResponseBody;

/// Why a request gets no answer from a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// A header has not the form it must have.
    Malformed,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body did not come whole.
    BodyTruncated,
    /// The body did not come in time.
    BodyTimeout,
    /// No route has this host and path.
    NoRoute,
    /// The key names no customer.
    UnknownCustomer,
    /// No configuration is known, or it is too old to go by.
    NoConfiguration,
    /// No server of the pool may be asked.
    NoServer,
    /// Every server of the pool has asked for rest; come back after so many milliseconds.
    Pushback(u32),
    /// The servers have more to do than fits in time; come back after so many milliseconds.
    Busy(u32),
    /// The customer has more than its portion; come back after so many milliseconds.
    OverShare(u32),
    /// A server turned the request away and no other may be asked.
    Rejected,
    /// The node stops.
    Stopping,
    /// It ends servers, or is under suspicion of it while another copy runs.
    Quarantined,
    /// A server was asked and what became of it is unknown.
    OutcomeUnknown,
    /// A server's answer was no answer to this request.
    InvalidResponse,
    /// The time is over and a server may still run the request.
    TimedOut,
}

/// Time after which to come back where only a fault has to pass, in milliseconds.
const SOON_MS: u32 = 200;

impl Refusal {
    /// Its status. 429 and 503 promise that the request has not run and never will.
    pub(crate) const fn status(self) -> StatusCode {
        match self {
            Self::Malformed | Self::BodyTruncated => StatusCode::BAD_REQUEST,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownCustomer => StatusCode::UNAUTHORIZED,
            Self::OverShare(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::NoConfiguration
            | Self::NoServer
            | Self::Pushback(_)
            | Self::Busy(_)
            | Self::Rejected
            | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            // It has run under an earlier id, so that nothing that promises it has not may be said.
            Self::Quarantined | Self::OutcomeUnknown | Self::InvalidResponse => {
                StatusCode::BAD_GATEWAY
            }
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Its name in logs, metrics and bodies.
    pub(crate) const fn code(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyTruncated => "body_cut",
            Self::BodyTimeout => "body_slow",
            Self::NoRoute => "no_route",
            Self::UnknownCustomer => "no_customer",
            Self::NoConfiguration => "no_configuration",
            Self::NoServer => "no_server",
            Self::Pushback(_) => "resting",
            Self::Busy(_) => "busy",
            Self::OverShare(_) => "over_share",
            Self::Rejected => "turned_away",
            Self::Stopping => "stopping",
            Self::Quarantined => "quarantined",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::InvalidResponse => "garbled_answer",
            Self::TimedOut => "timed_out",
        }
    }

    /// When to come back, in milliseconds.
    pub(crate) const fn retry_after_ms(self) -> Option<u32> {
        match self {
            Self::Pushback(ms) | Self::Busy(ms) | Self::OverShare(ms) => Some(ms),
            Self::NoConfiguration | Self::NoServer | Self::Rejected | Self::Stopping => {
                Some(SOON_MS)
            }
            _ => None,
        }
    }

    /// The answer that tells it.
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
