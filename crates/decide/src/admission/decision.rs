//! Admission decisions and how requests end.

use std::sync::Arc;

use mulberryyoke_model::Millis;

use crate::key::Response;

/// Admission decision for an arriving request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Admitted: the request is running and its end must be reported.
    Started,
    /// A request with the same key completed with this response.
    Replay(Arc<Response>),
    /// No slot is free.
    Busy,
    /// The server is draining.
    Draining,
    /// The attempt or its key was withdrawn.
    Withdrawn,
    /// The deadline has passed.
    DeadlineExceeded,
    /// The key cannot be stored before the given time.
    RetryAt(Millis),
    /// The key may have run in an earlier incarnation.
    Indeterminate,
    /// The attempt, or a request with the same key, is running.
    Running,
    /// The attempt, or a request with the same key, completed; the response is not
    /// stored.
    Completed,
    /// The attempt, or a request with the same key, was interrupted.
    Interrupted,
}

/// How a request ended on the server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Termination {
    /// The response was complete; included if small enough to replay.
    Complete(Option<Response>),
    /// The response was interrupted.
    Interrupted,
    /// The request never reached the server.
    Unsent,
}
