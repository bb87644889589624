//! A backend server as this router knows it.

mod cold_limiter;
mod health;
mod in_flight;
mod instance;
mod liveness;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use mulberryyoke_decide::engine::{Engine, PoolStats};
use parking_lot::{Mutex, MutexGuard};

pub(crate) use self::cold_limiter::ColdLimiter;
pub(crate) use self::health::Health;
pub(crate) use self::in_flight::InFlight;
pub(crate) use self::instance::Instance;
pub(crate) use self::liveness::Liveness;
use crate::config::Model;
use crate::conn::{Conn, Conns};
use crate::protocol::ResponseHead;
use crate::server::Server;

/// Part of a model server's memory in which shared prompt parts are expected to
/// last; running requests take the rest.
const CACHE_PART: u32 = 2;

/// A backend server as this router knows it.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) server: Server,
    pub(crate) conns: Conns,
    pub(crate) engine: Mutex<Engine>,
    /// How fast servers of its pool read prompts and end requests.
    pub(crate) pool_stats: Arc<Mutex<PoolStats>>,
    pub(crate) health: Mutex<Health>,
    /// Whether it is a model server.
    pub(crate) is_model: bool,
    /// What was seen of its lives; held while one looks.
    pub(crate) liveness: tokio::sync::Mutex<Liveness>,
    /// Requests under suspicion that run there apart from others.
    pub(crate) isolated_requests: AtomicU32,
    pub(crate) cold: ColdLimiter,
    pub(crate) instance: Arc<Instance>,
    /// Whether its registration says that it leaves, or has ended.
    is_closed: AtomicBool,
    /// Whether nothing is to be sent to its availability zone.
    is_evacuated: AtomicBool,
}

impl Backend {
    pub(crate) fn new(
        server: Server,
        model: Option<Model>,
        pace: Arc<Mutex<PoolStats>>,
        life: Arc<Instance>,
    ) -> Self {
        let cache_tokens = model.map_or(0, |model| model.memory_tokens / CACHE_PART);
        let slots = model.map_or(server.slots, |model| model.slots);
        Self {
            conns: Conns::new(server.address),
            engine: Mutex::new(Engine::new(slots, cache_tokens)),
            pool_stats: pace,
            health: Mutex::new(Health::default()),
            is_model: model.is_some(),
            liveness: tokio::sync::Mutex::default(),
            isolated_requests: AtomicU32::new(0),
            cold: ColdLimiter::default(),
            instance: life,
            is_evacuated: AtomicBool::new(false),
            is_closed: AtomicBool::new(server.is_leaving),
            server,
        }
    }

    /// What is believed of it as a model server, with what was last learnt of its pool.
    pub(crate) fn engine(&self) -> MutexGuard<'_, Engine> {
        let pace = *self.pool_stats.lock();
        let mut engine = self.engine.lock();
        engine.pool_stats = pace;
        engine
    }

    /// Whether it may get new requests.
    pub(crate) fn is_open(&self) -> bool {
        !self.is_closed() && !self.is_evacuated.load(Ordering::Relaxed)
    }

    /// Whether it leaves or is gone.
    pub(crate) fn is_closed(&self) -> bool {
        // What the server itself says counts at once: an outage may hold its registration back.
        self.is_closed.load(Ordering::Relaxed) || self.instance.is_leaving()
    }

    /// Lets it get no requests while its availability zone is evacuated, or again.
    pub(crate) fn set_evacuated(&self, is_evacuated: bool) {
        self.is_evacuated.store(is_evacuated, Ordering::Relaxed);
    }

    /// Keeps a connection whose answer was read whole, if another request may go there.
    pub(crate) fn release_conn(&self, conn: Conn, reading: ResponseHead) {
        if !reading.closes_connection && self.is_open() {
            self.conns.give(conn, reading.keep_alive_ms);
        }
    }

    /// Lets it get no more requests; those that run go on.
    pub(crate) fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        self.conns.clear();
    }
}
