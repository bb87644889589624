//! Handle of a running key-value service.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::http::Server;
use crate::kv::{Faults, Stats, Store};

/// A running key-value service. Dropping it stops the service.
#[derive(Debug)]
pub struct Handle {
    store: Arc<Store>,
    server: Arc<Server>,
}

impl Handle {
    pub(crate) const fn new(store: Arc<Store>, server: Arc<Server>) -> Self {
        Self { store, server }
    }

    /// Address on which it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Updates the injected faults.
    pub fn set_faults(&self, faults: &Faults) {
        self.store.set_faults(faults);
    }

    /// Statistics since the start.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.store.stats()
    }

    /// Waits until exactly `count` watches are open.
    pub async fn wait_for_watches(&self, count: u64) {
        self.store.wait_for_watches(count).await;
    }

    /// Waits until at least `count` calls of a method have arrived.
    pub async fn wait_for_calls(&self, method: &str, count: u64) {
        self.store.wait_for_calls(method, count).await;
    }

    /// Closes the port, so that connections are refused, and returns the store, which
    /// [`Store::rebind`] can serve again.
    #[must_use]
    pub fn stop(self) -> Arc<Store> {
        self.store
    }
}
