//! Per-server state of the gateway.

mod answer;
mod cold_limiter;
mod fetch;
mod health;
mod in_flight;
mod instance;
mod liveness;
mod load;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use mulberryyoke_decide::engine::{Engine, Footprint, PoolStats};
use mulberryyoke_decide::server_load::Queue;
use parking_lot::{Mutex, MutexGuard};

pub(crate) use self::answer::Answer;
pub(crate) use self::cold_limiter::ColdLimiter;
pub(crate) use self::fetch::Fetch;
pub(crate) use self::health::Health;
pub(crate) use self::in_flight::InFlight;
pub(crate) use self::instance::Instance;
pub(crate) use self::liveness::Liveness;
use crate::clock;
use crate::config::Model;
use crate::connection_pool::{Connection, ConnectionPool};
use crate::protocol::ResponseHead;
use crate::room::Room;
use crate::server::Server;
use crate::survival::Survival;

/// A backend server: its registration, connections and everything that the choice of a server
/// depends on.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) server: Server,
    pub(crate) conns: ConnectionPool,
    pub(crate) engine: Mutex<Engine>,
    /// Queue by the server's last report.
    pub(crate) queue: Mutex<Queue>,
    /// Latency and request duration, averaged over the servers of the pool.
    pub(crate) pool_stats: Arc<Mutex<PoolStats>>,
    /// Memory of requests, averaged over the requests of the pool.
    pub(crate) footprint: Arc<Mutex<Footprint>>,
    pub(crate) health: Mutex<Health>,
    pub(crate) is_model: bool,
    /// Locked while the server is probed, so that concurrent failures share one probe.
    pub(crate) liveness: tokio::sync::Mutex<Liveness>,
    /// Proof that its instance outlived the ends of connections.
    pub(crate) survival: Survival,
    /// When the server last sent anything, in milliseconds of the boot clock.
    heard_ms: AtomicU64,
    /// Suspect requests in flight; at most one runs on a server while others are free.
    pub(crate) isolated_requests: AtomicU32,
    pub(crate) cold: ColdLimiter,
    pub(crate) instance: Arc<Instance>,
    /// Told when the server may have room for another request.
    pub(crate) room: Arc<Room>,
    /// Whether the server is registered as leaving, or no longer registered.
    is_closed: AtomicBool,
    /// Whether another instance was found at its address although it had not left.
    is_replaced: AtomicBool,
    /// Whether its availability zone is being evacuated.
    is_evacuated: AtomicBool,
}

impl Backend {
    pub(crate) fn new(
        server: Server,
        model: Option<Model>,
        pool_stats: Arc<Mutex<PoolStats>>,
        footprint: Arc<Mutex<Footprint>>,
        instance: Arc<Instance>,
        room: Arc<Room>,
    ) -> Self {
        let memory_tokens = model.map_or(0, |model| model.memory_tokens);
        let slots = model.map_or(server.slots, |model| model.slots);
        let mut engine = Engine::new(slots, memory_tokens);
        engine.transfer = model.and_then(|model| model.transfer);
        Self {
            conns: ConnectionPool::new(server.address),
            engine: Mutex::new(engine),
            queue: Mutex::default(),
            pool_stats,
            footprint,
            health: Mutex::new(Health::default()),
            is_model: model.is_some(),
            liveness: tokio::sync::Mutex::default(),
            survival: Survival::default(),
            heard_ms: AtomicU64::new(0),
            isolated_requests: AtomicU32::new(0),
            cold: ColdLimiter::default(),
            instance,
            room,
            is_replaced: AtomicBool::new(false),
            is_evacuated: AtomicBool::new(false),
            is_closed: AtomicBool::new(server.is_leaving),
            server,
        }
    }

    /// Locks the engine model after copying the current averages of its pool into it and advancing
    /// it to the current time.
    pub(crate) fn engine(&self) -> MutexGuard<'_, Engine> {
        let pool_stats = *self.pool_stats.lock();
        let footprint = *self.footprint.lock();
        let mut engine = self.engine.lock();
        engine.pool_stats = pool_stats;
        engine.footprint = footprint;
        engine.advance(clock::now_ms());
        engine
    }

    /// Requests at the server and its slots: by its last report while that is recent, else by what
    /// the gateways know of each other.
    pub(crate) fn occupancy(&self, engine: &Engine, now_ms: u64) -> (u32, u32) {
        let queue = *self.queue.lock();
        let requests = queue.requests(now_ms).unwrap_or_else(|| engine.requests());
        (requests, queue.slots().unwrap_or(engine.slots))
    }

    /// Records that the server sent something.
    pub(crate) fn record_heard(&self) {
        self.heard_ms.store(clock::now_ms(), Ordering::Relaxed);
    }

    /// When the server last sent anything, in milliseconds of the boot clock.
    pub(crate) fn heard_ms(&self) -> u64 {
        self.heard_ms.load(Ordering::Relaxed)
    }

    /// Whether new requests may be sent to the server.
    pub(crate) fn is_open(&self) -> bool {
        !self.is_closed() && !self.is_evacuated.load(Ordering::Relaxed)
    }

    /// Whether other servers may fetch cached prompt parts from this one now.
    pub(crate) fn can_supply(&self, now_ms: u64) -> bool {
        self.is_open()
            && !self.instance.is_pushing_back(now_ms)
            && self.unsuited_until_ms() <= now_ms
            && self.engine.lock().source.is_available(now_ms)
    }

    /// End of the time for which the server is cold or avoided and supplies nothing, in milliseconds
    /// of the boot clock.
    pub(crate) fn unsuited_until_ms(&self) -> u64 {
        let avoided_until_ms = self.instance.avoided_until_ms();
        self.cold.until_ms().max(avoided_until_ms)
    }

    /// Whether the server is leaving or no longer registered.
    pub(crate) fn is_closed(&self) -> bool {
        // An announcement by the server counts without its registration, which an outage of the
        // key-value service may delay.
        self.is_closed.load(Ordering::Relaxed) || self.instance.is_leaving()
    }

    /// Whether the server may end at any time without having crashed.
    pub(crate) fn has_left(&self) -> bool {
        self.is_closed() && !self.is_replaced.load(Ordering::Relaxed)
    }

    /// Sets whether its availability zone is being evacuated.
    pub(crate) fn set_evacuated(&self, is_evacuated: bool) {
        self.is_evacuated.store(is_evacuated, Ordering::Relaxed);
    }

    /// Returns a connection to the pool after a complete response, unless the server is closed or
    /// ends the connection.
    pub(crate) fn release_conn(&self, conn: Connection, response_head: ResponseHead) {
        if !response_head.closes_connection && self.is_open() {
            self.conns.release(conn, response_head.keep_alive_ms);
        }
    }

    /// Stops new requests to the server; requests in flight continue.
    pub(crate) fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        self.conns.close_idle();
    }

    /// As [`Self::close`], since another instance was found at its address; `true` if the server had
    /// not left, and so has crashed.
    pub(crate) fn close_replaced(&self) -> bool {
        let has_crashed = !self.is_closed();
        if has_crashed {
            self.is_replaced.store(true, Ordering::Relaxed);
        }
        self.close();
        has_crashed
    }
}
