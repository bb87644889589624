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
use crate::eligibility::Eligibility;
use crate::quarantine::{self, Barred};

/// A waiting request, as seen by the task that serves the queues.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) call: Arc<Call>,
    /// Why it was rejected on arrival.
    pub(super) denial: Denial,
    /// Servers that did not run it.
    pub(super) tried: SmallVec<[ServerId; 4]>,
    /// Versions that were not to run it on arrival because of its prompt's parts.
    barred: Barred,
    sender: oneshot::Sender<Ending>,
}

impl Waiter {
    pub(super) fn new(
        call: &Arc<Call>,
        denial: Denial,
        eligible: Eligibility<'_>,
        sender: oneshot::Sender<Ending>,
    ) -> Self {
        Self {
            call: Arc::clone(call),
            denial,
            tried: SmallVec::from_slice(eligible.tried),
            barred: SmallVec::from_slice(eligible.barred),
            sender,
        }
    }

    /// Versions that may not run it now because of its prompt's parts.
    pub(super) fn barred(&self, core: &Core) -> Barred {
        let mut barred = quarantine::barred(core, &self.call);
        barred.extend_from_slice(&self.barred);
        barred
    }

    /// Ends the wait. The customer is not charged if nobody waits any more.
    pub(super) fn end(self, core: &Core, ending: Ending) {
        if let Err(Ending::Sent(_)) = self.sender.send(ending) {
            balance::refund(core, &self.call);
        }
    }
}
