//! State of the key-value service.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::sync::watch;

use crate::http::Server;
use crate::kv::data::Data;
use crate::kv::{Action, Faults, Handle, ScriptedResponse, Stats};

/// Interval between checks for expired leases, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 50;

/// Default interval of progress notifications on watches, in milliseconds, as in etcd.
const PROGRESS_INTERVAL_MS: u64 = 600_000;

/// In-memory key-value service.
#[derive(Debug)]
pub struct Store {
    pub(crate) data: Mutex<Data>,
    pub(crate) faults: watch::Sender<FaultState>,
    /// Current revision, which wakes watches.
    pub(crate) revision: watch::Sender<u64>,
    /// Number of open watches.
    pub(crate) watches: watch::Sender<u64>,
    snapshot: Mutex<Data>,
    counts: watch::Sender<Counts>,
    server: Mutex<Weak<Server>>,
}

/// Current faults.
#[derive(Clone, Debug, Default)]
pub(crate) struct FaultState {
    pub outage: bool,
    pub delay_ms: u64,
    pub lose_answers: u64,
    pub fail: ScriptedResponse,
    pub progress_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    calls: BTreeMap<String, u64>,
    lost_answers: u64,
}

impl Store {
    /// Starts an empty service.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Handle> {
        let data = Data::default();
        let store = Self {
            snapshot: Mutex::new(data.clone()),
            faults: watch::Sender::new(FaultState {
                progress_ms: PROGRESS_INTERVAL_MS,
                ..FaultState::default()
            }),
            revision: watch::Sender::new(data.revision),
            watches: watch::Sender::new(0),
            data: Mutex::new(data),
            counts: watch::Sender::default(),
            server: Mutex::default(),
        };
        Arc::new(store).rebind(address).await
    }

    /// Serves a stopped store again.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn rebind(self: Arc<Self>, address: SocketAddr) -> io::Result<Handle> {
        let store = Arc::clone(&self);
        let handler = move |request| Arc::clone(&store).respond(request);
        let server = Arc::new(Server::bind(address, handler).await?);
        *self.server.lock() = Arc::downgrade(&server);
        tokio::spawn(expire_leases(Arc::downgrade(&self)));
        Ok(Handle::new(self, server))
    }

    /// Updates the injected faults.
    pub(crate) fn set_faults(&self, faults: &Faults) {
        self.update_state(faults);
        for action in &faults.once {
            self.execute_action(*action);
        }
        if faults.outage == Some(true) {
            self.disconnect();
        }
    }

    fn execute_action(&self, action: Action) {
        match action {
            Action::Snapshot => *self.snapshot.lock() = self.data.lock().clone(),
            Action::Restore => self.restore(),
            Action::ExpireLeases => self.expire_all_leases(),
            Action::Compact => self.data.lock().compact(),
            Action::Disconnect => self.disconnect(),
        }
    }

    fn update_state(&self, faults: &Faults) {
        self.faults.send_modify(|state| {
            state.outage = faults.outage.unwrap_or(state.outage);
            state.delay_ms = faults.delay_ms.unwrap_or(state.delay_ms);
            state.lose_answers = faults.lose_answers.unwrap_or(state.lose_answers);
            state.progress_ms = faults.progress_ms.unwrap_or(state.progress_ms).max(1);
            if let Some(fail) = &faults.fail {
                state.fail = fail.clone();
            }
        });
    }

    fn restore(&self) {
        let mut snapshot = self.snapshot.lock().clone();
        snapshot.renew_leases(Instant::now());
        let mut data = self.data.lock();
        *data = snapshot;
        self.disconnect();
    }

    fn expire_all_leases(&self) {
        let mut data = self.data.lock();
        let ids: Vec<u64> = data.leases.keys().copied().collect();
        for id in ids {
            data.revoke(id);
        }
        self.revision.send_replace(data.revision);
    }

    fn disconnect(&self) {
        if let Some(server) = self.server.lock().upgrade() {
            server.disconnect();
        }
    }

    pub(crate) fn count_call(&self, method: &str) {
        self.counts.send_modify(|counts| {
            *counts.calls.entry(method.to_owned()).or_default() += 1;
        });
    }

    pub(crate) fn count_dropped_response(&self) {
        self.counts.send_modify(|counts| counts.lost_answers += 1);
    }

    pub(crate) fn stats(&self) -> Stats {
        let counts = self.counts.borrow().clone();
        let data = self.data.lock();
        Stats {
            total: counts.calls.values().sum(),
            calls: counts.calls,
            watching: *self.watches.borrow(),
            lost_answers: counts.lost_answers,
            revision: data.revision,
            keys: data.len(),
        }
    }

    pub(crate) async fn wait_for_watches(&self, count: u64) {
        let mut watches = self.watches.subscribe();
        // The sender lives as long as the store, so this cannot fail.
        let _ = watches.wait_for(|watches| *watches == count).await;
    }

    pub(crate) async fn wait_for_calls(&self, method: &str, count: u64) {
        let mut counts = self.counts.subscribe();
        let is_reached = |counts: &Counts| counts.calls.get(method) >= Some(&count);
        // The sender lives as long as the store, so this cannot fail.
        let _ = counts.wait_for(is_reached).await;
    }
}

/// Delays a call until the configured delay has passed or is reset to zero.
pub(crate) async fn delay_call(store: &Store) {
    let mut faults = store.faults.subscribe();
    let delay_ms = faults.borrow_and_update().delay_ms;
    let delay = Duration::from_millis(delay_ms);
    let reset = faults.wait_for(|faults| faults.delay_ms == 0);
    // The call proceeds in either case.
    let _ = tokio::time::timeout(delay, reset).await;
}

/// Expires leases until the store is dropped.
async fn expire_leases(store: Weak<Store>) {
    loop {
        tokio::time::sleep(Duration::from_millis(EXPIRY_INTERVAL_MS)).await;
        let Some(store) = store.upgrade() else {
            return;
        };
        let mut data = store.data.lock();
        if data.expire_leases(Instant::now()) {
            store.revision.send_replace(data.revision);
        }
    }
}
