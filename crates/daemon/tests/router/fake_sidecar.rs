//! A fake sidecar whose responses are set by the test.

mod control;
mod data;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use hyper::HeaderMap;
use mulberryyoke_model::{
    Attempt, CustomerId, Grant, Incarnation, Interest, KeyId, Load, Outcome, Revision, Server,
    ServerId, State, Ticket,
};
use mulberryyoke_wire::{Listener, Verdict, Withdrawal};
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, watch};
use tokio_util::sync::CancellationToken;

/// How the data port handles a request.
#[derive(Clone, Debug)]
pub(crate) enum Behavior {
    /// Responds 200 with a text.
    Respond(&'static str),
    /// Sends a text with its `Content-Length`; ends the stream on release.
    HoldEnd(&'static str),
    /// Sends a text; aborts the stream on release.
    Abort(&'static str),
    /// Rejects the request with a verdict.
    Verdict(Verdict),
    /// Sends a `Content-Length` and a text; aborts the stream on release.
    AbortWithLength(u64, &'static str),
    /// Responds 200 with a text on release.
    Delay(&'static str),
    /// Sends data until the stream is cancelled.
    Endless,
    /// Never responds.
    NoResponse,
}

/// A request received on the data port.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) ticket: Ticket,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

#[derive(Debug)]
struct Shared {
    incarnation: Incarnation,
    id: ServerId,
    behaviors: Mutex<VecDeque<Behavior>>,
    free: Mutex<u32>,
    received: mpsc::UnboundedSender<ReceivedRequest>,
    declared: watch::Sender<BTreeMap<CustomerId, Interest>>,
    grants: Mutex<Vec<Grant>>,
    granted: Notify,
    declined: watch::Sender<Vec<u64>>,
    withdrawal: Mutex<Withdrawal>,
    withdrawn: watch::Sender<Vec<(Attempt, Option<KeyId>)>>,
    recalled: watch::Sender<Vec<KeyId>>,
    frozen: watch::Sender<bool>,
    released: Notify,
    cancelled: Notify,
    revision: Mutex<Revision>,
}

/// A running fake sidecar.
pub(crate) struct FakeSidecar {
    pub(crate) server: Server,
    shared: Arc<Shared>,
    received: mpsc::UnboundedReceiver<ReceivedRequest>,
    cancel: CancellationToken,
    data_cancel: CancellationToken,
}

impl FakeSidecar {
    /// Starts a sidecar that reports `free` free slots.
    pub(crate) async fn bind(name: &str, pool: &str, free: u32) -> Self {
        let loopback = "127.0.0.1:0".parse().unwrap();
        let control_port = Listener::bind(loopback, Arc::default()).await.unwrap();
        let data_port = TcpListener::bind(loopback).await.unwrap();
        let server = Server {
            name: name.to_owned(),
            pool: pool.to_owned(),
            region: String::new(),
            zone: "a".to_owned(),
            control: control_port.address().unwrap(),
            data: data_port.local_addr().unwrap(),
            slots: 4,
            state: State::Active,
            added_at: 0,
            changed_at: 0,
        };
        let (sender, received) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared {
            incarnation: Incarnation(rand::random()),
            id: ServerId::of(name),
            behaviors: Mutex::default(),
            free: Mutex::new(free),
            received: sender,
            declared: watch::Sender::default(),
            grants: Mutex::default(),
            granted: Notify::new(),
            declined: watch::Sender::default(),
            withdrawal: Mutex::new(Withdrawal {
                outcome: Outcome::NotRun,
                doubtful: false,
            }),
            withdrawn: watch::Sender::default(),
            recalled: watch::Sender::default(),
            frozen: watch::Sender::new(false),
            released: Notify::new(),
            cancelled: Notify::new(),
            revision: Mutex::default(),
        });
        let cancel = CancellationToken::new();
        let control = control::serve(control_port, Arc::clone(&shared), cancel.clone());
        tokio::spawn(cancel.clone().run_until_cancelled_owned(control));
        let data_cancel = cancel.child_token();
        let data = data::serve(data_port, Arc::clone(&shared), data_cancel.clone());
        tokio::spawn(data_cancel.clone().run_until_cancelled_owned(data));
        Self {
            server,
            shared,
            received,
            cancel,
            data_cancel,
        }
    }

    /// Appends a behavior for one request. Requests beyond those get the text "ok".
    pub(crate) fn on_next_request(&self, behavior: Behavior) -> &Self {
        self.shared.behaviors.lock().push_back(behavior);
        self
    }

    /// Waits for the next request.
    pub(crate) async fn next_request(&mut self) -> ReceivedRequest {
        self.received.recv().await.unwrap()
    }

    /// Discards the received requests and returns their number.
    pub(crate) fn drain_requests(&mut self) -> usize {
        std::iter::from_fn(|| self.received.try_recv().ok()).count()
    }

    /// Waits until the customer's declared demand, by class, is `waiting`.
    pub(crate) async fn wait_declared(&self, customer: CustomerId, waiting: [u16; 3]) {
        let mut declared = self.shared.declared.subscribe();
        let is_declared = |declared: &BTreeMap<CustomerId, Interest>| {
            let interest = declared.get(&customer);
            interest.map_or([0; 3], |interest| interest.waiting) == waiting
        };
        declared.wait_for(is_declared).await.unwrap();
    }

    /// Grants a slot and subtracts a request of the best class from the declared demand.
    pub(crate) fn grant(&self, id: u64, customer: CustomerId) {
        self.shared.declared.send_modify(|declared| {
            let interest = declared.get_mut(&customer);
            let waiting = interest.map(|interest| &mut interest.waiting);
            let best = waiting.and_then(|waiting| waiting.iter_mut().find(|count| **count > 0));
            if let Some(best) = best {
                *best -= 1;
            }
        });
        let until = u64::MAX;
        self.shared.grants.lock().push(Grant {
            id,
            customer,
            until,
        });
        self.shared.granted.notify_one();
    }

    /// Discards the declared demand.
    pub(crate) fn clear_declarations(&self) {
        self.shared.declared.send_modify(BTreeMap::clear);
    }

    /// Sets the number of free slots that is reported.
    pub(crate) fn set_free(&self, free: u32) {
        *self.shared.free.lock() = free;
    }

    /// Waits until a grant is declined.
    pub(crate) async fn wait_declined(&self, id: u64) {
        let mut declined = self.shared.declined.subscribe();
        declined.wait_for(|ids| ids.contains(&id)).await.unwrap();
    }

    /// Sets the response to withdrawals.
    pub(crate) fn set_withdrawal(&self, outcome: Outcome, doubtful: bool) {
        *self.shared.withdrawal.lock() = Withdrawal { outcome, doubtful };
    }

    /// Waits for a withdrawal and returns the first one.
    pub(crate) async fn wait_withdrawn(&self) -> (Attempt, Option<KeyId>) {
        let mut withdrawn = self.shared.withdrawn.subscribe();
        let withdrawn = withdrawn.wait_for(|withdrawn| !withdrawn.is_empty());
        withdrawn.await.unwrap()[0]
    }

    /// Keys in the router's latest recall.
    pub(crate) fn recalled_keys(&self) -> Vec<KeyId> {
        self.shared.recalled.borrow().clone()
    }

    /// Lets a response that waits for it continue.
    pub(crate) fn release(&self) {
        self.shared.released.notify_one();
    }

    /// Waits until the router cancels an endless response.
    pub(crate) async fn wait_cancelled(&self) {
        self.shared.cancelled.notified().await;
    }

    /// Sets whether control calls are suspended.
    pub(crate) fn set_frozen(&self, frozen: bool) {
        self.shared.frozen.send_replace(frozen);
    }

    /// Closes the data port.
    pub(crate) fn close_data_port(&self) {
        self.data_cancel.cancel();
    }

    /// Removes the pending behaviors.
    pub(crate) fn clear_behaviors(&self) {
        self.shared.behaviors.lock().clear();
    }

    /// Highest configuration revision received.
    pub(crate) fn revision(&self) -> Revision {
        *self.shared.revision.lock()
    }
}

impl Drop for FakeSidecar {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

impl Shared {
    async fn wait_unfrozen(&self) {
        let mut frozen = self.frozen.subscribe();
        frozen.wait_for(|frozen| !frozen).await.unwrap();
    }

    fn load(&self) -> Load {
        Load {
            server: self.id,
            incarnation: self.incarnation,
            started_at: 0,
            revision: *self.revision.lock(),
            slots: 4,
            free: *self.free.lock(),
            draining: false,
        }
    }
}
