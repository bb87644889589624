//! What a router knows of the fleet: accepted configuration, peer routers, VM
//! list and the service that customers have received.

mod catch_up;
mod choice;
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
use self::vms::Roster;
use crate::clock;

/// A router whose calls fail for this many exchanges is suspect.
const SUSPECT_INTERVALS: u64 = 3;

/// Least time for which calls to a router fail before it is suspect, in milliseconds.
const LEAST_SUSPECT_MS: u64 = 1_000;

/// Longest silence of a watch, in milliseconds: after a partition that cut it without
/// a trace, new configuration is in force this much later.
const SILENCE_MS: u64 = 10_000;

/// A router's knowledge of the fleet, kept up to date until stopped.
pub struct Fleet {
    settings: Arc<settings::Router>,
    logger: Logger,
    member: Member,
    control: SocketAddr,
    bytes: Arc<ByteCounter>,
    store: Store,
    kv_up: AtomicBool,
    roster: Roster,
    peers: Peers,
    ledger: Mutex<Ledger>,
    idle: Mutex<Vec<ServerId>>,
    local_requests: OnceLock<Arc<dyn LocalRequests>>,
    /// The VM list has been asked for once.
    listed: CancellationToken,
    /// The other routers have been asked once.
    asked: CancellationToken,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Fleet {
    /// Binds the control port and begins to follow the key-value service, the VM
    /// list and the peers. Nothing of them needs to answer yet.
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
            suspect_ms: (SUSPECT_INTERVALS * settings.exchange_ms).max(LEAST_SUSPECT_MS),
            ..decide_member::Limits::default()
        };
        let options = kv::Options {
            watch_idle_timeout_ms: SILENCE_MS,
            ..kv::Options::default()
        };
        let fleet = Arc::new(Self {
            settings: Arc::clone(&settings),
            logger,
            member,
            control,
            store: Store::open(),
            kv_up: AtomicBool::new(false),
            roster: Roster::default(),
            peers: Peers::open(router, limits, Arc::clone(&bytes)),
            ledger: Mutex::new(Ledger::new(instance, decide_exchange::Limits::default())),
            idle: Mutex::default(),
            bytes,
            local_requests: OnceLock::new(),
            listed: CancellationToken::new(),
            asked: CancellationToken::new(),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        });
        let kv = kv::Etcd::new(settings.kv.clone(), options);
        let vms = vm::Http::new(settings.vms);
        fleet.run(service::accept(Arc::clone(&fleet), listener));
        fleet.run(source::follow(Arc::clone(&fleet), Arc::new(kv)));
        fleet.run(vms::follow(Arc::clone(&fleet), Arc::new(vms)));
        fleet.run(exchange::run(Arc::clone(&fleet)));
        Ok(fleet)
    }

    /// Where peers connect.
    #[must_use]
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// This router as its peers know it.
    #[must_use]
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// Routers that answered of late, this one included.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        let mut members = self.peers.members();
        members.push(self.member.clone());
        members
    }

    /// Every other router of the VM list, whether it answered or not.
    #[must_use]
    pub fn peer_statuses(&self) -> Vec<PeerStatus> {
        let mut peer_statuses = self.peers.peer_statuses();
        peer_statuses.retain(|status| status.name != self.member.name);
        peer_statuses
    }

    /// Whether the key-value service is being followed, here or by other routers of the
    /// zone.
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

    /// Tells the highest applied revision whenever the configuration changes.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Revision> {
        self.store.watch()
    }

    /// Takes in accepted configuration that a sidecar or peer told. What is not
    /// newer than the value held for its key is ignored.
    pub fn merge(&self, changes: Vec<Change>) {
        self.accept(changes, "offer");
    }

    /// Whether the VM list says that a VM is leaving.
    #[must_use]
    pub fn is_leaving(&self, name: &str) -> bool {
        self.roster.is_leaving(name)
    }

    /// What became of a request, asked of the router life that took it.
    pub async fn outcome(&self, attempt: Attempt) -> Outcome {
        if attempt.origin == self.member.incarnation {
            return self.own_outcome(attempt).await;
        }
        self.peers.outcome(attempt).await
    }

    /// What became of a request that this router, or an earlier life of it, took.
    async fn own_outcome(&self, attempt: Attempt) -> Outcome {
        match self.local_requests.get() {
            Some(requests) => requests.outcome(attempt).await,
            None => Outcome::Unknown,
        }
    }

    /// Names what answers the peers' questions about this router's requests. Only
    /// the first call counts.
    pub fn set_local_requests(&self, requests: Arc<dyn LocalRequests>) {
        let _ = self.local_requests.set(requests);
    }

    /// Counter of the bytes of all control links, those to sidecars included.
    #[must_use]
    pub fn control_bytes(&self) -> Arc<ByteCounter> {
        Arc::clone(&self.bytes)
    }

    /// Stops following and answering, and waits until that is done.
    pub async fn stop(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    fn run(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            stop.run_until_cancelled(task).await;
        });
    }
}
