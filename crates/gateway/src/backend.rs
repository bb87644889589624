//! A backend server as this router knows it.

mod health;
mod running;

use std::sync::atomic::{AtomicBool, Ordering};

use mulberryyoke_decide::engine::Engine;
use parking_lot::Mutex;

pub(crate) use self::health::Health;
pub(crate) use self::running::Running;
use crate::conn::Conns;
use crate::plan::Model;
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
    pub(crate) health: Mutex<Health>,
    is_closed: AtomicBool,
}

impl Backend {
    pub(crate) fn new(server: Server, model: Option<Model>) -> Self {
        let cache_tokens = model.map_or(0, |model| model.memory_tokens / CACHE_PART);
        let slots = model.map_or(server.slots, |model| model.slots);
        Self {
            conns: Conns::new(server.address),
            engine: Mutex::new(Engine::new(slots, cache_tokens)),
            health: Mutex::new(Health::default()),
            is_closed: AtomicBool::new(server.is_leaving),
            server,
        }
    }

    /// Whether it may get new requests.
    pub(crate) fn is_open(&self) -> bool {
        !self.is_closed.load(Ordering::Relaxed)
    }

    /// Lets it get no more requests; those that run go on.
    pub(crate) fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        self.conns.clear();
    }
}
