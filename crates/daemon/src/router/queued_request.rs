//! Queue payload of a waiting request.

use mulberryyoke_decide::placement::PromptPrefix;
use mulberryyoke_model::Attempt;
use tokio::sync::oneshot;

use super::place::Place;

/// The result of a request's wait.
#[derive(Debug)]
pub(crate) enum Wakeup {
    /// A slot was found.
    Granted(Place),
    /// The request was removed because the queue is full.
    Displaced,
}

/// Data stored with a queued request.
#[derive(Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) attempt: Attempt,
    pub(crate) prefix: Option<PromptPrefix>,
    pub(crate) wakeup: oneshot::Sender<Wakeup>,
}
