//! Answers to arriving requests, and how requests end.

use std::sync::Arc;

use mulberryyoke_model::Millis;

use crate::key::Response;

/// What becomes of an arriving request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It runs now; its end has to be told.
    Started,
    /// A request with the same key ran; this was its answer.
    Replay(Arc<Response>),
    /// No slot is free.
    Busy,
    /// The server is leaving.
    Draining,
    /// The attempt or its key was withdrawn.
    Withdrawn,
    /// The deadline has passed.
    DeadlineExceeded,
    /// The key cannot be remembered before the instant.
    RetryAt(Millis),
    /// The key may have run in an earlier life.
    Indeterminate,
    /// The attempt, or a request with the same key, runs now.
    Running,
    /// The attempt, or a request with the same key, ran; the answer is not kept.
    Completed,
    /// A request with the same key was cut off.
    Interrupted,
}

/// How a request ended on the server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Termination {
    /// The answer was whole; kept for repeats of the key when small.
    Complete(Option<Response>),
    /// The answer was cut off.
    Interrupted,
    /// Nothing reached the server.
    Unsent,
}
