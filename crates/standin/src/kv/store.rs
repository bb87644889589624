//! The key-value service's state and switches.

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

/// Time between looks for lapsed leases, in milliseconds.
const TICK_MS: u64 = 50;

/// Time between signs of life on a watch, in milliseconds, as the real service has it.
const PROGRESS_MS: u64 = 600_000;

/// A key-value service in memory.
#[derive(Debug)]
pub struct Store {
    pub(crate) data: Mutex<Data>,
    pub(crate) faults: watch::Sender<FaultState>,
    /// The newest revision, to wake watches.
    pub(crate) revision: watch::Sender<u64>,
    /// Watches that wait now.
    pub(crate) waiting: watch::Sender<u64>,
    snapshot: Mutex<Data>,
    counts: watch::Sender<Counts>,
    server: Mutex<Weak<Server>>,
}

/// Faults that are switched on.
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
    /// When the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Handle> {
        let data = Data::default();
        let store = Self {
            snapshot: Mutex::new(data.clone()),
            faults: watch::Sender::new(FaultState {
                progress_ms: PROGRESS_MS,
                ..FaultState::default()
            }),
            revision: watch::Sender::new(data.revision),
            waiting: watch::Sender::new(0),
            data: Mutex::new(data),
            counts: watch::Sender::default(),
            server: Mutex::default(),
        };
        Arc::new(store).rebind(address).await
    }

    /// Serves contents that were served before.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn rebind(self: Arc<Self>, address: SocketAddr) -> io::Result<Handle> {
        let store = Arc::clone(&self);
        let answer = move |request| Arc::clone(&store).answer(request);
        let server = Arc::new(Server::bind(address, answer).await?);
        *self.server.lock() = Arc::downgrade(&server);
        tokio::spawn(tick(Arc::downgrade(&self)));
        Ok(Handle::new(self, server))
    }

    /// Switches faults on or off.
    pub(crate) fn set_faults(&self, switch: &Faults) {
        self.set(switch);
        for order in &switch.once {
            self.carry_out_order(*order);
        }
        if switch.outage == Some(true) {
            self.cut();
        }
    }

    fn carry_out_order(&self, order: Action) {
        match order {
            Action::Snapshot => *self.snapshot.lock() = self.data.lock().clone(),
            Action::Restore => self.restore(),
            Action::ExpireLeases => self.lapse_all(),
            Action::Compact => self.data.lock().compact(),
            Action::Disconnect => self.cut(),
        }
    }

    fn set(&self, switch: &Faults) {
        self.faults.send_modify(|faults| {
            faults.outage = switch.outage.unwrap_or(faults.outage);
            faults.delay_ms = switch.delay_ms.unwrap_or(faults.delay_ms);
            faults.lose_answers = switch.lose_answers.unwrap_or(faults.lose_answers);
            faults.progress_ms = switch.progress_ms.unwrap_or(faults.progress_ms).max(1);
            if let Some(fail) = &switch.fail {
                faults.fail = fail.clone();
            }
        });
    }

    fn restore(&self) {
        let mut older = self.snapshot.lock().clone();
        older.renew(Instant::now());
        let mut data = self.data.lock();
        *data = older;
        self.cut();
    }

    fn lapse_all(&self) {
        let mut data = self.data.lock();
        let ids: Vec<u64> = data.leases.keys().copied().collect();
        for id in ids {
            data.revoke(id);
        }
        self.revision.send_replace(data.revision);
    }

    fn cut(&self) {
        if let Some(server) = self.server.lock().upgrade() {
            server.disconnect();
        }
    }

    pub(crate) fn count(&self, method: &str) {
        self.counts.send_modify(|counts| {
            *counts.calls.entry(method.to_owned()).or_default() += 1;
        });
    }

    pub(crate) fn count_lost(&self) {
        self.counts.send_modify(|counts| counts.lost_answers += 1);
    }

    pub(crate) fn stats(&self) -> Stats {
        let counts = self.counts.borrow().clone();
        let data = self.data.lock();
        Stats {
            total: counts.calls.values().sum(),
            calls: counts.calls,
            watching: *self.waiting.borrow(),
            lost_answers: counts.lost_answers,
            revision: data.revision,
            keys: data.len(),
        }
    }

    pub(crate) async fn wait_for_watches(&self, count: u64) {
        let mut waiting = self.waiting.subscribe();
        // The sender lives as long as the store, so this cannot fail.
        let _ = waiting.wait_for(|waiting| *waiting == count).await;
    }

    pub(crate) async fn wait_for_calls(&self, method: &str, count: u64) {
        let mut counts = self.counts.subscribe();
        let is_reached = |counts: &Counts| counts.calls.get(method) >= Some(&count);
        // The sender lives as long as the store, so this cannot fail.
        let _ = counts.wait_for(is_reached).await;
    }
}

/// Waits for a delayed call's turn, or until there is no delay any more.
pub(crate) async fn pause(store: &Store) {
    let mut faults = store.faults.subscribe();
    let delay_ms = faults.borrow_and_update().delay_ms;
    let delay = Duration::from_millis(delay_ms);
    let ended = faults.wait_for(|faults| faults.delay_ms == 0);
    // Both ends of the wait mean the same: the call goes on.
    let _ = tokio::time::timeout(delay, ended).await;
}

/// Lets leases lapse for as long as the store is there.
async fn tick(store: Weak<Store>) {
    loop {
        tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
        let Some(store) = store.upgrade() else {
            return;
        };
        let mut data = store.data.lock();
        if data.lapse(Instant::now()) {
            store.revision.send_replace(data.revision);
        }
    }
}
