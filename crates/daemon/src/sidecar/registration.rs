//! Registration of routers in the home record.

use std::collections::BTreeSet;
use std::time::Duration;

use mulberryyoke_model::Incarnation;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use super::shared::Shared;

/// How long a request waits for its router to be registered.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(1);

/// Routers awaiting registration, and the number of record writes.
#[derive(Debug)]
pub(crate) struct Registration {
    /// Routers to be added to the record.
    pub(super) pending: Mutex<BTreeSet<Incarnation>>,
    /// Notified when a router was added to `pending`.
    pub(super) added: Notify,
    /// Record writes by this instance.
    pub(super) writes: watch::Sender<u64>,
}

impl Registration {
    pub(crate) fn new() -> Self {
        Self {
            pending: Mutex::default(),
            added: Notify::new(),
            writes: watch::Sender::new(0),
        }
    }

    /// Registers a router in the record, or gives up after [`REGISTER_TIMEOUT`].
    pub(crate) async fn register(&self, shared: &Shared, origin: Incarnation) {
        let mut writes = self.writes.subscribe();
        let is_registered = || shared.decide(|admission, _| admission.is_registered(origin));
        if is_registered() {
            return;
        }
        self.pending.lock().insert(origin);
        self.added.notify_one();
        let registered = async { while !is_registered() && writes.changed().await.is_ok() {} };
        // After a timeout, admission rejects the key.
        let _ = tokio::time::timeout(REGISTER_TIMEOUT, registered).await;
    }

    /// Waits until this instance has written the record.
    pub(crate) async fn wait_written(&self) {
        let mut writes = self.writes.subscribe();
        // `self` holds the sender, so the channel is open.
        let _ = writes.wait_for(|count| *count > 0).await;
    }

    /// Counts a record write and wakes waiting requests.
    pub(super) fn notify_written(&self) {
        self.writes.send_modify(|count| *count += 1);
    }
}
