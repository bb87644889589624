//! Requests' side of the home record.

use std::collections::BTreeSet;
use std::time::Duration;

use mulberryyoke_model::Incarnation;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use super::shared::Shared;

/// Longest time that a request waits until the record names its router.
const NAMING: Duration = Duration::from_secs(1);

/// Requests' side of the home record.
#[derive(Debug)]
pub(crate) struct Home {
    /// Routers that the record does not name yet.
    pub(super) wanted: Mutex<BTreeSet<Incarnation>>,
    /// Fires when there are any.
    pub(super) work: Notify,
    /// Writes of the record by this life.
    pub(super) written: watch::Sender<u64>,
}

impl Home {
    pub(crate) fn open() -> Self {
        Self {
            wanted: Mutex::default(),
            work: Notify::new(),
            written: watch::Sender::new(0),
        }
    }

    /// Has the record name a router; gives up after a while, and the key is then
    /// refused.
    pub(crate) async fn name(&self, shared: &Shared, origin: Incarnation) {
        let mut written = self.written.subscribe();
        let is_named = || shared.decide(|admission, _| admission.is_registered(origin));
        if is_named() {
            return;
        }
        self.wanted.lock().insert(origin);
        self.work.notify_one();
        let named = async { while !is_named() && written.changed().await.is_ok() {} };
        // Not named in time: the decision that follows refuses the key.
        let _ = tokio::time::timeout(NAMING, named).await;
    }

    /// Waits until the record is this life's.
    pub(crate) async fn wait_written(&self) {
        let mut written = self.written.subscribe();
        // The sender is this value, so it cannot be gone.
        let _ = written.wait_for(|writes| *writes > 0).await;
    }

    /// Notes that the record was written.
    pub(super) fn note_written(&self) {
        self.written.send_modify(|writes| *writes += 1);
    }
}
