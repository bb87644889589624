//! Servers that crash on a part of a prompt.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::Run;
use crate::fault_log::Scope;
use crate::proxy::Mode;
use crate::store_values::server_key;

/// Time from a crash until the next instance listens.
const ABSENCE: Duration = Duration::from_secs(1);

impl Run {
    /// When requests crashed servers, in order.
    pub(crate) fn crashes(&self) -> Vec<Instant> {
        self.crashes.lock().clone()
    }

    /// Ends the connections of each server that crashes, and replaces it by a new instance.
    pub(super) fn watch_servers(self: &Arc<Self>) {
        for index in 0..self.servers.len() {
            let run = Arc::clone(self);
            tokio::spawn(async move {
                while !run.is_finished() {
                    run.servers[index].backend.wait_for_crash().await;
                    run.restart_server(index).await;
                }
            });
        }
    }

    async fn restart_server(&self, index: usize) {
        let server = &self.servers[index];
        let scopes = [Scope::AnyServerConnection, Scope::ServerConnection(index)];
        let faults = scopes.map(|scope| self.fault_log.begin(scope));
        self.crashes.lock().push(Instant::now());
        server.proxy.set_mode(Mode::Refuse);
        sleep(ABSENCE).await;
        self.store.delete(&server_key(&server.backend.name()));
        let next = format!("n-{}", self.next_server.fetch_add(1, Ordering::Relaxed));
        server.backend.replace(&next);
        server.backend.clear_crash();
        server.proxy.set_mode(Mode::Forward);
        self.register(server);
        for fault in faults {
            self.fault_log.end(fault);
        }
    }
}
