//! A place in a queue, as held by the task of the caller's connection.

use std::sync::Arc;

use mulberryyoke_decide::queue::EntryKey;
use mulberryyoke_event::{Event, log};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Ending;
use crate::call::Call;
use crate::core::Core;
use crate::streams::start;
use crate::{balance, clock};

/// A place in a queue, given up when it is dropped: hyper drops the task's future when the caller
/// closes the connection.
#[derive(Debug)]
pub(super) struct Place {
    core: Arc<Core>,
    call: Arc<Call>,
    key: EntryKey,
    /// When the request has to be sent or refused.
    pub(super) until: u64,
    receiver: oneshot::Receiver<Ending>,
    entered_at: Instant,
    outcome: &'static str,
}

impl Place {
    pub(super) fn new(
        core: &Arc<Core>,
        call: &Arc<Call>,
        (key, until): (EntryKey, u64),
        receiver: oneshot::Receiver<Ending>,
    ) -> Self {
        Self {
            core: Arc::clone(core),
            call: Arc::clone(call),
            key,
            until,
            receiver,
            entered_at: Instant::now(),
            outcome: "hung_up",
        }
    }

    /// Waits for the end of the wait.
    pub(super) async fn ending(&mut self) -> Ending {
        // The sender is dropped without an ending only with the queues, at the end of the process.
        (&mut self.receiver).await.unwrap_or(Ending::Stopping)
    }

    /// Gives up the place after this ending.
    pub(super) fn leave(mut self, ending: &Ending) {
        self.outcome = ending.label();
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut queues = self.core.waiting.queues.lock();
        if let Some(queue) = queues.by_pool.get_mut(&self.call.pool) {
            queue.remove(self.key);
        }
        self.core.waiting.publish(&self.core, &queues);
        drop(queues);
        // The request may have been assigned to a server just before.
        if let Ok(Ending::Sent(_)) = self.receiver.try_recv() {
            balance::refund(&self.core, &self.call);
        }
        let waited = Instant::now() - self.entered_at;
        metrics::histogram!("waited_seconds", "outcome" => self.outcome)
            .record(waited.as_secs_f64());
        start::record_wait(&self.call, self.outcome);
        log!(self.core.logger, Event::WaitEnded,
            "request" => &self.call.id,
            "outcome" => self.outcome,
            "waited_ms" => clock::between_ms(self.entered_at, Instant::now()));
    }
}
