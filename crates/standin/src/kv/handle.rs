//! A running key-value service.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::http::Server;
use crate::kv::{Stats, Store, Switch};

/// A running key-value service. Dropping it ends the service.
#[derive(Debug)]
pub struct Handle {
    store: Arc<Store>,
    server: Arc<Server>,
}

impl Handle {
    pub(crate) const fn new(store: Arc<Store>, server: Arc<Server>) -> Self {
        Self { store, server }
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Switches faults on or off.
    pub fn switch(&self, switch: &Switch) {
        self.store.switch(switch);
    }

    /// Counts since the start.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.store.stats()
    }

    /// Waits until a number of watches are waiting.
    pub async fn watching(&self, count: u64) {
        self.store.watching(count).await;
    }

    /// Waits until a number of calls of a method have arrived.
    pub async fn called(&self, method: &str, count: u64) {
        self.store.called(method, count).await;
    }

    /// Closes the port, so that connections are refused. Returns the contents, which
    /// `Store::bind_again` serves again.
    #[must_use]
    pub fn stop(self) -> Arc<Store> {
        self.store
    }
}
