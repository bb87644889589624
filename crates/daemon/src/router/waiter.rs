//! What is kept with a waiting request.

use mulberryyoke_decide::placement::PromptPrefix;
use mulberryyoke_model::Attempt;
use tokio::sync::oneshot;

use super::place::Place;

/// What ends a request's wait.
#[derive(Debug)]
pub(crate) enum Turn {
    /// A server has a slot for it.
    Go(Place),
    /// It has to go because too much waits here.
    Displaced,
}

/// What is kept with a waiting request.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) attempt: Attempt,
    pub(crate) prefix: Option<PromptPrefix>,
    pub(crate) turn: oneshot::Sender<Turn>,
}
