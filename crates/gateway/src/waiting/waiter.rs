//! A waiting request, as seen by the task that serves the queues.

use std::sync::Arc;

use mulberryyoke_model::ServerId;
use smallvec::SmallVec;
use tokio::sync::oneshot;

use super::Ending;
use crate::balance;
use crate::call::Call;
use crate::core::Core;
use crate::denial::Denial;

/// A waiting request, as seen by the task that serves the queues.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) call: Arc<Call>,
    /// Why it was rejected on arrival.
    pub(super) denial: Denial,
    /// Servers that did not run it.
    pub(super) tried: SmallVec<[ServerId; 4]>,
    sender: oneshot::Sender<Ending>,
}

impl Waiter {
    pub(super) fn new(
        call: &Arc<Call>,
        denial: Denial,
        tried: &[ServerId],
        sender: oneshot::Sender<Ending>,
    ) -> Self {
        Self {
            call: Arc::clone(call),
            denial,
            tried: SmallVec::from_slice(tried),
            sender,
        }
    }

    /// Ends the wait. The customer is not charged if nobody waits any more.
    pub(super) fn end(self, core: &Core, ending: Ending) {
        if let Err(Ending::Sent(_)) = self.sender.send(ending) {
            balance::refund(core, &self.call);
        }
    }
}
