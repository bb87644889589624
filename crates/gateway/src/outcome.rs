//! What came of sending a request to a server.

use hyper::Response;

use crate::response_body::ResponseBody;

/// What came of sending a request to a server.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The server's answer.
    Answered(Response<ResponseBody>),
    /// The server says that it has not run it and never will.
    TurnedAway,
    /// Another server has the address.
    OtherServer,
    /// No byte of it left the router.
    Unsent,
    /// The server left or asked for rest before anything of it was sent.
    Withheld,
    /// The server failed, and its answer says so. It has run.
    Failed(Response<ResponseBody>),
    /// It may run or have run; nothing more is known.
    Unknown,
    /// What came was no answer to it. It may have run.
    Garbled,
    /// No answer has come for so long that another server is asked. It may have run.
    Stalled,
    /// The time is over.
    TimedOut,
}

impl Outcome {
    /// Its name in logs and metrics.
    pub(crate) const fn word(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::TurnedAway => "turned_away",
            Self::OtherServer => "other_server",
            Self::Unsent => "unsent",
            Self::Withheld => "withheld",
            Self::Failed(_) => "failed",
            Self::Unknown => "unknown",
            Self::Garbled => "garbled",
            Self::Stalled => "stalled",
            Self::TimedOut => "timed_out",
        }
    }
}
