//! A request that a server may have run.

use std::sync::Arc;

use mulberryyoke_decide::quarantine::Failure;
use mulberryyoke_model::Digest;
use tokio::time::Instant;

use crate::backend::{Backend, InFlight};
use crate::call::Call;

/// A request that a server may have run, without the resources that it held.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) digest: Digest,
    pub(super) backend: Arc<Backend>,
    pub(super) sent_at: Instant,
}

impl Run {
    pub(super) fn new(call: &Call, in_flight: &InFlight) -> Self {
        Self::sent(call, &in_flight.backend, in_flight.sent_at)
    }

    /// Returns the run of a request to which the server has not responded.
    pub(super) fn sent(call: &Call, backend: &Arc<Backend>, sent_at: Instant) -> Self {
        Self {
            digest: call.digest(),
            backend: Arc::clone(backend),
            sent_at,
        }
    }

    /// Returns its failure at `at`, in milliseconds of the boot clock.
    pub(super) const fn failure(&self, at: u64, is_silence: bool) -> Failure {
        Failure {
            digest: self.digest,
            at,
            is_silence,
        }
    }
}
