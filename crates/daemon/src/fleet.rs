//! A router's view of the fleet: accepted configuration, peer routers, VM list and
//! customer usage.

mod catch_up;
mod error;
mod exchange;
mod local_requests;
mod message;
mod peer;
mod peer_status;
mod peers;
mod reader;
mod service;
mod source;
mod store;
mod subset;
mod usage;
mod vms;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

use mulberryyoke_decide::exchange::{self as decide_exchange, Instance, Ledger};
use mulberryyoke_decide::member::{self as decide_member, Router};
use mulberryyoke_decide::view::View;
use mulberryyoke_model::{Attempt, Change, Config, Incarnation, Outcome, Revision, ServerId};
use mulberryyoke_platform::{kv, vm};
use mulberryyoke_settings as settings;
use mulberryyoke_wire::{ByteCounter, Listener, Member};
use parking_lot::Mutex;
use slog::Logger;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

pub use self::error::Error;
pub use self::local_requests::LocalRequests;
pub use self::peer_status::{PeerStatus, PeerSummary};

use self::peers::Peers;
use self::store::Store;
use self::vms::VmList;
use crate::clock;

/// Exchange intervals of failed calls after which a router is suspect.
const SUSPECT_INTERVALS: u64 = 3;

/// Minimum time of failed calls after which a router is suspect, in milliseconds.
const MIN_SUSPECT_MS: u64 = 1_000;

/// Idle time after which a watch is reopened, in milliseconds. Bounds how long a
/// connection lost without a reset delays new configuration.
const WATCH_IDLE_TIMEOUT_MS: u64 = 10_000;

/// A router's view of the fleet, kept up to date until stopped.
pub struct Fleet {
    settings: Arc<settings::Router>,
    logger: Logger,
    member: Member,
    control: SocketAddr,
    bytes: Arc<ByteCounter>,
    store: Store,
    kv_up: AtomicBool,
    vm_list: VmList,
    peers: Peers,
    ledger: Mutex<Ledger>,
    idle: Mutex<Vec<ServerId>>,
    local_requests: OnceLock<Arc<dyn LocalRequests>>,
    /// Cancelled after the first read of the VM list, even a failed one.
    first_listing: CancellationToken,
    /// Cancelled after the first exchange with the other routers or its timeout.
    first_exchange: CancellationToken,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Fleet {
    /// Binds the control port and starts to follow the key-value service, the VM
    /// list and the peers, none of which needs to be reachable yet.
    ///
    /// # Errors
    ///
    /// [`Error::Bind`] when the control port cannot be bound.
    pub async fn spawn(
        settings: Arc<settings::Router>,
        logger: Logger,
    ) -> Result<Arc<Self>, Error> {
        let bytes = Arc::new(ByteCounter::default());
        let bound = Listener::bind(settings.control, Arc::clone(&bytes)).await;
        let listener = bound.map_err(Error::Bind)?;
        let control = listener.address().map_err(Error::Bind)?;
        let incarnation = Incarnation(rand::random());
        let member = Member {
            name: settings.name.clone(),
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            incarnation,
            started_at: clock::now(),
        };
        let router = Router {
            name: settings.name.clone(),
            region: settings.region.clone(),
            zone: settings.zone.clone(),
        };
        let instance = Instance {
            incarnation,
            started_at: member.started_at,
        };
        let limits = decide_member::Limits {
            suspect_ms: (SUSPECT_INTERVALS * settings.exchange_ms).max(MIN_SUSPECT_MS),
            ..decide_member::Limits::default()
        };
        let options = kv::Options {
            watch_idle_timeout_ms: WATCH_IDLE_TIMEOUT_MS,
            ..kv::Options::default()
        };
        let fleet = Arc::new(Self {
            settings: Arc::clone(&settings),
            logger,
            member,
            control,
            store: Store::new(),
            kv_up: AtomicBool::new(false),
            vm_list: VmList::default(),
            peers: Peers::new(router, limits, Arc::clone(&bytes)),
            ledger: Mutex::new(Ledger::new(instance, decide_exchange::Limits::default())),
            idle: Mutex::default(),
            bytes,
            local_requests: OnceLock::new(),
            first_listing: CancellationToken::new(),
            first_exchange: CancellationToken::new(),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        });
        let kv = kv::Etcd::new(settings.kv.clone(), options);
        let vms = vm::Http::new(settings.vms);
        fleet.spawn_task(service::accept(Arc::clone(&fleet), listener));
        fleet.spawn_task(source::follow(Arc::clone(&fleet), Arc::new(kv)));
        fleet.spawn_task(vms::follow(Arc::clone(&fleet), Arc::new(vms)));
        fleet.spawn_task(exchange::run(Arc::clone(&fleet)));
        Ok(fleet)
    }

    /// Address of the control port.
    #[must_use]
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// The member record that this router sends to its peers.
    #[must_use]
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// Routers with a recent summary, including this one.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        let mut members = self.peers.members();
        members.push(self.member.clone());
        members
    }

    /// Status of every other known router, reachable or not.
    #[must_use]
    pub fn peer_statuses(&self) -> Vec<PeerStatus> {
        let mut peer_statuses = self.peers.peer_statuses();
        peer_statuses.retain(|status| status.name != self.member.name);
        peer_statuses
    }

    /// Whether the key-value service is being followed by this router or by other
    /// routers of the zone.
    #[must_use]
    pub fn is_kv_up(&self) -> bool {
        self.kv_up.load(Ordering::Relaxed)
    }

    /// The index over the accepted configuration.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.store.view()
    }

    /// The accepted configuration.
    #[must_use]
    pub fn config(&self) -> Arc<Config> {
        self.store.config()
    }

    /// Writes that a process with this revision may lack, in revision order.
    pub(crate) fn changes_since(&self, revision: Revision) -> Vec<Change> {
        self.store.since(revision)
    }

    /// Subscribes to the highest applied revision.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Revision> {
        self.store.watch()
    }

    /// Merges accepted configuration from a sidecar or a peer. Changes that are not
    /// newer than the current value of their key are ignored.
    pub fn merge(&self, changes: Vec<Change>) {
        self.apply(changes, "offer");
    }

    /// Whether a VM is marked as leaving in the VM list.
    #[must_use]
    pub fn is_leaving(&self, name: &str) -> bool {
        self.vm_list.is_leaving(name)
    }

    /// Outcome of a request, queried from the router instance that received it.
    pub async fn outcome(&self, attempt: Attempt) -> Outcome {
        if attempt.origin == self.member.incarnation {
            return self.local_outcome(attempt).await;
        }
        self.peers.outcome(attempt).await
    }

    /// Outcome of a request that this router or an earlier instance of it received.
    async fn local_outcome(&self, attempt: Attempt) -> Outcome {
        match self.local_requests.get() {
            Some(requests) => requests.outcome(attempt).await,
            None => Outcome::Unknown,
        }
    }

    /// Sets the handler of peers' queries about this router's requests. Only the
    /// first call has an effect.
    pub fn set_local_requests(&self, requests: Arc<dyn LocalRequests>) {
        let _ = self.local_requests.set(requests);
    }

    /// Byte counter of all control connections, including those to sidecars.
    #[must_use]
    pub fn control_bytes(&self) -> Arc<ByteCounter> {
        Arc::clone(&self.bytes)
    }

    /// Stops all tasks and waits for them to end.
    pub async fn stop(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    fn spawn_task(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            stop.run_until_cancelled(task).await;
        });
    }
}
