//! Answers of the router's own.

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::answer::Answer;

/// Why a request gets no answer from a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// A header has not the form it must have.
    Malformed,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not come whole.
    Cut,
    /// The body did not come in time.
    Slow,
    /// No route has this host and path.
    NoRoute,
    /// The key names no customer.
    NoCustomer,
    /// No configuration is known, or it is too old to go by.
    NoView,
    /// No server of the pool may be asked.
    NoServer,
    /// Every server of the pool has asked for rest; come back after so many milliseconds.
    Resting(u32),
    /// The servers have more to do than fits in time; come back after so many milliseconds.
    Busy(u32),
    /// The customer has more than its portion; come back after so many milliseconds.
    Share(u32),
    /// A server turned the request away and no other may be asked.
    TurnedAway,
    /// The node stops.
    Stopping,
    /// It ends servers, or is under suspicion of it while another copy runs.
    Quarantined,
    /// A server was asked and what became of it is unknown.
    Unknown,
    /// A server's answer was no answer to this request.
    Garbled,
    /// The time is over and a server may still run the request.
    TimedOut,
}

/// Time after which to come back where only a fault has to pass, in milliseconds.
const SOON_MS: u32 = 200;

impl Refusal {
    /// Its status. 429 and 503 promise that the request has not run and never will.
    pub(crate) const fn status(self) -> StatusCode {
        match self {
            Self::Malformed | Self::Cut => StatusCode::BAD_REQUEST,
            Self::Slow => StatusCode::REQUEST_TIMEOUT,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoCustomer => StatusCode::UNAUTHORIZED,
            Self::Share(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::NoView
            | Self::NoServer
            | Self::Resting(_)
            | Self::Busy(_)
            | Self::TurnedAway
            | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            // It has run under an earlier id, so that nothing that promises it has not may be said.
            Self::Quarantined | Self::Unknown | Self::Garbled => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Its name in logs, metrics and bodies.
    pub(crate) const fn word(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::TooLarge => "body_too_large",
            Self::Cut => "body_cut",
            Self::Slow => "body_slow",
            Self::NoRoute => "no_route",
            Self::NoCustomer => "no_customer",
            Self::NoView => "no_configuration",
            Self::NoServer => "no_server",
            Self::Resting(_) => "resting",
            Self::Busy(_) => "busy",
            Self::Share(_) => "over_share",
            Self::TurnedAway => "turned_away",
            Self::Stopping => "stopping",
            Self::Quarantined => "quarantined",
            Self::Unknown => "outcome_unknown",
            Self::Garbled => "garbled_answer",
            Self::TimedOut => "timed_out",
        }
    }

    /// When to come back, in milliseconds.
    pub(crate) const fn retry_ms(self) -> Option<u32> {
        match self {
            Self::Resting(ms) | Self::Busy(ms) | Self::Share(ms) => Some(ms),
            Self::NoView | Self::NoServer | Self::TurnedAway | Self::Stopping => Some(SOON_MS),
            _ => None,
        }
    }

    /// The answer that tells it.
    pub(crate) fn response(self) -> Response<Answer> {
        let body = format!("{{\"error\":\"{}\"}}\n", self.word());
        let mut response = Response::new(Answer::whole(Bytes::from(body)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(ms) = self.retry_ms() {
            let text = format!("{}.{:03}", ms / 1_000, ms % 1_000);
            let value = HeaderValue::from_str(&text).expect("digits are a header value");
            headers.insert(RETRY_AFTER, value);
        }
        response
    }
}
