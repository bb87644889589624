//! Result of one attempt.

use hyper::Response;

use crate::response_body::ResponseBody;

/// Result of sending a request to one server.
#[derive(Debug)]
pub(crate) enum Outcome {
    Completed(Response<ResponseBody>),
    /// The server states that it has not run the request and never will.
    Rejected,
    /// The address belongs to another server.
    WrongServer,
    /// No byte of the request was sent.
    NotSent,
    /// Not sent because the server is leaving or asked for pushback during the connect.
    Withheld,
    /// A 5xx response; the request has run.
    ServerError(Response<ResponseBody>),
    /// The connection failed; the request may have run.
    Unknown,
    /// The response doesn't belong to this request, which may have run.
    InvalidResponse,
    /// No response before the stall deadline; the request may have run.
    Stalled,
    /// No response before the request's deadline; the request may have run.
    TimedOut,
}

impl Outcome {
    /// Label in logs and metrics.
    pub(crate) const fn label(&self) -> &'static str {
        match self {
            Self::Completed(_) => "answered",
            Self::Rejected => "turned_away",
            Self::WrongServer => "other_server",
            Self::NotSent => "unsent",
            Self::Withheld => "withheld",
            Self::ServerError(_) => "failed",
            Self::Unknown => "unknown",
            Self::InvalidResponse => "garbled",
            Self::Stalled => "stalled",
            Self::TimedOut => "timed_out",
        }
    }
}
