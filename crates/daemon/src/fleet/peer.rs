//! Connection to another router and its last summary.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use mulberryyoke_decide::exchange::Instance;
use mulberryyoke_model::{Relation, Revision, ServerId};
use mulberryyoke_wire::{self as wire, ByteCounter, Member, RouterClient};
use parking_lot::Mutex;
use tarpc::context::Context;
use tokio::time::timeout;

/// Timeout of connecting to and calling another router or a sidecar.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum time between two full configuration comparisons with one router.
const COMPARE_INTERVAL: Duration = Duration::from_secs(10);

/// Another router.
pub(super) struct Peer {
    pub(super) name: String,
    pub(super) address: SocketAddr,
    pub(super) calling: BusyFlag,
    pub(super) fetching: BusyFlag,
    client: tokio::sync::Mutex<Option<RouterClient>>,
    last_summary: Mutex<Option<LastSummary>>,
    compared_at: Mutex<Option<Instant>>,
}

/// The latest summary received from a router.
#[derive(Clone)]
pub(super) struct LastSummary {
    pub(super) member: Member,
    pub(super) received_at: Instant,
    pub(super) revision: Revision,
    pub(super) idle: Vec<ServerId>,
    /// Its relation to this router, if the summary had a statement.
    pub(super) relation: Option<Relation>,
}

impl LastSummary {
    pub(super) fn instance(&self) -> Instance {
        instance(&self.member)
    }
}

/// The instance of a router.
pub(super) fn instance(member: &Member) -> Instance {
    Instance {
        incarnation: member.incarnation,
        started_at: member.started_at,
    }
}

impl Peer {
    pub(super) fn new(name: String, address: SocketAddr) -> Self {
        Self {
            name,
            address,
            calling: BusyFlag::default(),
            fetching: BusyFlag::default(),
            client: tokio::sync::Mutex::default(),
            last_summary: Mutex::default(),
            compared_at: Mutex::default(),
        }
    }

    /// Returns a client of the router, connecting first if necessary.
    pub(super) async fn client(&self, bytes: &Arc<ByteCounter>) -> Option<RouterClient> {
        let mut client = self.client.lock().await;
        if client.is_none() {
            let connect = wire::connect_router(self.address, Arc::clone(bytes));
            *client = timeout(CALL_TIMEOUT, connect).await.ok()?.ok();
        }
        client.clone()
    }

    /// Drops the connection after a failure.
    pub(super) async fn disconnect(&self) {
        *self.client.lock().await = None;
    }

    pub(super) fn last_summary(&self) -> Option<LastSummary> {
        self.last_summary.lock().clone()
    }

    pub(super) fn replace_last_summary(&self, summary: LastSummary) -> Option<LastSummary> {
        self.last_summary.lock().replace(summary)
    }

    /// Starts a full configuration comparison unless the last one was too recent.
    pub(super) fn try_start_comparison(&self) -> bool {
        let mut compared_at = self.compared_at.lock();
        let is_due = compared_at.is_none_or(|at| at.elapsed() >= COMPARE_INTERVAL);
        if is_due {
            *compared_at = Some(Instant::now());
        }
        is_due
    }
}

/// Context of a call with a deadline.
pub(super) fn call_context() -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + CALL_TIMEOUT;
    context
}

/// Lets one task at a time perform an operation, without waiting.
#[derive(Default)]
pub(super) struct BusyFlag(AtomicBool);

/// Clears the flag when dropped.
pub(super) struct BusyGuard<'a>(&'a BusyFlag);

impl BusyFlag {
    /// Sets the flag; `None` if it is already set.
    pub(super) fn try_acquire(&self) -> Option<BusyGuard<'_>> {
        let was_busy = self.0.swap(true, Ordering::Acquire);
        (!was_busy).then_some(BusyGuard(self))
    }
}

impl Drop for BusyGuard<'_> {
    fn drop(&mut self) {
        self.0.0.store(false, Ordering::Release);
    }
}
