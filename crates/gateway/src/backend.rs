//! A backend server as this router knows it.

mod cold;
mod health;
mod life;
mod running;
mod seen;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use mulberryyoke_decide::engine::{Engine, PoolStats};
use parking_lot::{Mutex, MutexGuard};

pub(crate) use self::cold::Cold;
pub(crate) use self::health::Health;
pub(crate) use self::life::Life;
pub(crate) use self::running::Running;
pub(crate) use self::seen::Seen;
use crate::connection_pool::{Connection, ConnectionPool};
use crate::plan::Model;
use crate::protocol::Reading;
use crate::server::Server;

/// Part of a model server's memory in which shared prompt parts are expected to
/// last; running requests take the rest.
const CACHE_PART: u32 = 2;

/// A backend server as this router knows it.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) server: Server,
    pub(crate) conns: ConnectionPool,
    pub(crate) engine: Mutex<Engine>,
    /// How fast servers of its pool read prompts and end requests.
    pub(crate) pace: Arc<Mutex<PoolStats>>,
    pub(crate) health: Mutex<Health>,
    /// Whether it is a model server.
    pub(crate) is_model: bool,
    /// What was seen of its lives; held while one looks.
    pub(crate) seen: tokio::sync::Mutex<Seen>,
    /// Requests under suspicion that run there apart from others.
    pub(crate) trials: AtomicU32,
    pub(crate) cold: Cold,
    pub(crate) life: Arc<Life>,
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
        life: Arc<Life>,
    ) -> Self {
        let cache_tokens = model.map_or(0, |model| model.memory_tokens / CACHE_PART);
        let slots = model.map_or(server.slots, |model| model.slots);
        Self {
            conns: ConnectionPool::new(server.address),
            engine: Mutex::new(Engine::new(slots, cache_tokens)),
            pace,
            health: Mutex::new(Health::default()),
            is_model: model.is_some(),
            seen: tokio::sync::Mutex::default(),
            trials: AtomicU32::new(0),
            cold: Cold::default(),
            life,
            is_evacuated: AtomicBool::new(false),
            is_closed: AtomicBool::new(server.is_leaving),
            server,
        }
    }

    /// What is believed of it as a model server, with what was last learnt of its pool.
    pub(crate) fn engine(&self) -> MutexGuard<'_, Engine> {
        let pace = *self.pace.lock();
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
        self.is_closed.load(Ordering::Relaxed) || self.life.is_leaving()
    }

    /// Lets it get no requests while its availability zone is evacuated, or again.
    pub(crate) fn evacuate(&self, is_evacuated: bool) {
        self.is_evacuated.store(is_evacuated, Ordering::Relaxed);
    }

    /// Keeps a connection whose answer was read whole, if another request may go there.
    pub(crate) fn give(&self, conn: Connection, reading: Reading) {
        if !reading.is_last && self.is_open() {
            self.conns.release(conn, reading.idle_ms);
        }
    }

    /// Lets it get no more requests; those that run go on.
    pub(crate) fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        self.conns.close_idle();
    }
}
