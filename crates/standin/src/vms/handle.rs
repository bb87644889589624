//! A running VM list.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use mulberryyoke_platform::vm::{State, Vm};
use parking_lot::Mutex;

use crate::http::Server;
use crate::vms::{Stats, Update};

/// The VMs as they are and as the list shows them.
#[derive(Debug, Default)]
pub struct List {
    pub(crate) state: Mutex<Shown>,
    server: Mutex<Weak<Server>>,
}

/// What the list shows, and changes that do not show yet.
#[derive(Debug, Default)]
pub(crate) struct Shown {
    pub outage: bool,
    pub delay_ms: u64,
    pub calls: u64,
    lag_ms: u64,
    vms: BTreeMap<String, Vm>,
    pending: Vec<(Instant, Change)>,
}

#[derive(Debug)]
enum Change {
    Add(Vm),
    Set(String, State),
    Remove(String),
}

/// A running VM list. Dropping it ends the service.
#[derive(Debug)]
pub struct Handle {
    registry: Arc<List>,
    server: Arc<Server>,
}

impl List {
    /// Starts a list with some VMs.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn bind(address: SocketAddr, vms: Vec<Vm>) -> io::Result<Handle> {
        let registry = Arc::new(Self::default());
        registry.update(Update {
            add: vms,
            ..Update::default()
        });
        let shared = Arc::clone(&registry);
        let answer = move |request| Arc::clone(&shared).answer(request);
        let server = Arc::new(Server::bind(address, answer).await?);
        *registry.server.lock() = Arc::downgrade(&server);
        Ok(Handle { registry, server })
    }

    pub(crate) fn update(&self, switch: Update) {
        let is_outage = switch.outage == Some(true);
        self.state.lock().update(switch, Instant::now());
        if !is_outage {
            return;
        }
        if let Some(server) = self.server.lock().upgrade() {
            server.disconnect();
        }
    }

    pub(crate) fn stats(&self) -> Stats {
        let mut state = self.state.lock();
        Stats {
            total: state.calls,
            vms: state.list(Instant::now()).len(),
        }
    }
}

impl Shown {
    fn update(&mut self, switch: Update, now: Instant) {
        self.outage = switch.outage.unwrap_or(self.outage);
        self.delay_ms = switch.delay_ms.unwrap_or(self.delay_ms);
        self.lag_ms = switch.lag_ms.unwrap_or(self.lag_ms);
        let shows_at = now + Duration::from_millis(self.lag_ms);
        let added = switch.add.into_iter().map(Change::Add);
        let set = switch.states.into_iter();
        let set = set.map(|(name, state)| Change::Set(name, state));
        let removed = switch.remove.into_iter().map(Change::Remove);
        let changes = added.chain(set).chain(removed);
        self.pending
            .extend(changes.map(|change| (shows_at, change)));
        self.pending.sort_by_key(|(shows_at, _)| *shows_at);
    }

    /// The list as it shows at an instant.
    pub(crate) fn list(&mut self, now: Instant) -> Vec<Vm> {
        let due = self
            .pending
            .partition_point(|(shows_at, _)| *shows_at <= now);
        for (_, change) in self.pending.drain(..due).collect::<Vec<_>>() {
            self.apply(change);
        }
        self.vms.values().cloned().collect()
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Add(vm) => {
                self.vms.insert(vm.name.clone(), vm);
            }
            Change::Set(name, state) => {
                if let Some(vm) = self.vms.get_mut(&name) {
                    vm.state = state;
                }
            }
            Change::Remove(name) => {
                self.vms.remove(&name);
            }
        }
    }
}

impl Handle {
    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the list, or switches faults on or off.
    pub fn update(&self, switch: Update) {
        self.registry.update(switch);
    }

    /// Counts since the start.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.registry.stats()
    }
}
