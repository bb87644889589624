//! A backend server as this router knows it.

mod health;
mod running;

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use mulberryyoke_decide::engine::{Engine, Load};
use mulberryyoke_wire::beat;
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
    /// Prompt tokens sent to it by this router; the count wraps.
    sent: AtomicU32,
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
            sent: AtomicU32::new(0),
            server,
        }
    }

    /// What peers are told of it; `None` while this router never used it.
    pub(crate) fn told(&self) -> Option<beat::Server> {
        let sent = self.sent.load(Ordering::Relaxed);
        let load = self.engine.lock().own;
        let is_unused = sent == 0 && load == Load::default();
        (!is_unused).then_some(beat::Server {
            id: self.server.id,
            load,
            sent,
        })
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
