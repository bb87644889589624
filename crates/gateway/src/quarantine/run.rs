//! A request that a server may have run.

use std::sync::Arc;

use mulberryyoke_decide::engine::PartId;
use mulberryyoke_decide::quarantine::{Failure, parts};
use mulberryyoke_model::{Digest, ServerId};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::backend::{Backend, InFlight};
use crate::call::Call;
use crate::core::Core;

/// A request that a server may have run, without the resources that it held.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) digest: Digest,
    pub(super) backend: Arc<Backend>,
    pub(super) sent_at: Instant,
    /// Parts of its prompt without the last one.
    parts: SmallVec<[PartId; 4]>,
    /// When its first event was received, in milliseconds of the boot clock.
    began_at: Option<u64>,
}

impl Run {
    pub(super) fn new(call: &Call, in_flight: &InFlight) -> Self {
        Self::sent(call, &in_flight.backend, in_flight.sent_at).begun(in_flight.began_ms())
    }

    /// Returns the run of a request to which the server has not responded.
    pub(super) fn sent(call: &Call, backend: &Arc<Backend>, sent_at: Instant) -> Self {
        Self {
            digest: call.digest(),
            backend: Arc::clone(backend),
            sent_at,
            parts: call
                .prompt
                .as_ref()
                .map(|prompt| prompt.part_ids.clone())
                .unwrap_or_default(),
            began_at: None,
        }
    }

    /// Returns the run whose first event was received at this time.
    pub(super) fn begun(self, began_at: Option<u64>) -> Self {
        Self { began_at, ..self }
    }

    /// Records its failure on a server instance at `at`, in milliseconds of the boot clock.
    pub(super) fn record_failure(
        &self,
        core: &Core,
        instance: ServerId,
        at: u64,
        is_silence: bool,
    ) {
        let failure = Failure {
            digest: self.digest,
            at,
            is_silence,
        };
        let quarantine = &core.quarantine;
        quarantine.update(|records| records.record_failure(instance, failure));
        let failure = parts::Failure {
            parts: self.parts.clone(),
            at,
            began_at: self.began_at,
            is_silence,
        };
        quarantine.parts.record_failure(instance, failure);
    }
}
