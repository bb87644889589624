//! The VM list and its handle.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use mulberryyoke_platform::vm::{self, Vm};
use parking_lot::Mutex;

use crate::http::Server;
use crate::vms::{Stats, Update};

/// The VM list.
#[derive(Debug, Default)]
pub struct List {
    pub(crate) state: Mutex<State>,
    server: Mutex<Weak<Server>>,
}

/// Visible VMs, pending changes and injected faults.
#[derive(Debug, Default)]
pub(crate) struct State {
    pub outage: bool,
    pub delay_ms: u64,
    pub calls: u64,
    lag_ms: u64,
    vms: BTreeMap<String, Vm>,
    /// Changes by the time at which they become visible.
    pending: Vec<(Instant, Change)>,
}

#[derive(Debug)]
enum Change {
    Add(Vm),
    SetState(String, vm::State),
    Remove(String),
}

/// A running VM list. Dropping it stops the service.
#[derive(Debug)]
pub struct Handle {
    list: Arc<List>,
    server: Arc<Server>,
}

impl List {
    /// Starts a list with these VMs.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn bind(address: SocketAddr, vms: Vec<Vm>) -> io::Result<Handle> {
        let list = Arc::new(Self::default());
        list.update(Update {
            add: vms,
            ..Update::default()
        });
        let shared = Arc::clone(&list);
        let handler = move |request| Arc::clone(&shared).respond(request);
        let server = Arc::new(Server::bind(address, handler).await?);
        *list.server.lock() = Arc::downgrade(&server);
        Ok(Handle { list, server })
    }

    pub(crate) fn update(&self, update: Update) {
        let is_outage = update.outage == Some(true);
        self.state.lock().update(update, Instant::now());
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
            vms: state.visible(Instant::now()).len(),
        }
    }
}

impl State {
    fn update(&mut self, update: Update, now: Instant) {
        self.outage = update.outage.unwrap_or(self.outage);
        self.delay_ms = update.delay_ms.unwrap_or(self.delay_ms);
        self.lag_ms = update.lag_ms.unwrap_or(self.lag_ms);
        let visible_at = now + Duration::from_millis(self.lag_ms);
        let added = update.add.into_iter().map(Change::Add);
        let states = update.states.into_iter();
        let states = states.map(|(name, state)| Change::SetState(name, state));
        let removed = update.remove.into_iter().map(Change::Remove);
        let changes = added.chain(states).chain(removed);
        self.pending
            .extend(changes.map(|change| (visible_at, change)));
        self.pending.sort_by_key(|(visible_at, _)| *visible_at);
    }

    /// Applies the pending changes that are due and returns the visible VMs.
    pub(crate) fn visible(&mut self, now: Instant) -> Vec<Vm> {
        let due = self
            .pending
            .partition_point(|(visible_at, _)| *visible_at <= now);
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
            Change::SetState(name, state) => {
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
    /// Address on which it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Updates the list or the injected faults.
    pub fn update(&self, update: Update) {
        self.list.update(update);
    }

    /// Statistics since the start.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.list.stats()
    }
}
