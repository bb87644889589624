//! Answers to arriving requests, and how requests end.

use std::sync::Arc;

use mulberryyoke_model::Millis;

use crate::key::Answer;

/// What becomes of an arriving request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It runs now; its end has to be told.
    Started,
    /// A request with the same key ran; this was its answer.
    Replay(Arc<Answer>),
    /// No slot is free.
    Busy,
    /// The server is leaving.
    Draining,
    /// The attempt or its key was withdrawn.
    Tombstone,
    /// The deadline has passed.
    Late,
    /// The key cannot be remembered before the instant.
    Full(Millis),
    /// The key may have run in an earlier life.
    Doubtful,
    /// The attempt, or a request with the same key, runs now.
    Running,
    /// The attempt, or a request with the same key, ran; the answer is not kept.
    Ran,
    /// A request with the same key was cut off.
    Cut,
}

/// How a request ended on the server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The answer was whole; kept for repeats of the key when small.
    Whole(Option<Answer>),
    /// The answer was cut off.
    Cut,
    /// Nothing reached the server.
    Unsent,
}
