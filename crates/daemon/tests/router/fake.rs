//! A sidecar that does as it is told.

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

/// What to do with a request.
#[derive(Clone, Debug)]
pub(crate) enum Act {
    /// Answers 200 with a text.
    Answer(&'static str),
    /// Sends a text with its length told, and ends only once it is released.
    Told(&'static str),
    /// Sends a text, and breaks off once it is released.
    Break(&'static str),
    /// Turns it away.
    Verdict(Verdict),
    /// Names a length and sends a text, but does not end the stream.
    Sized(u64, &'static str),
    /// Answers with a text once it is released.
    Hold(&'static str),
    /// Sends a text again and again.
    Endless,
    /// Never answers.
    Silence,
}

/// A request that came.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) ticket: Ticket,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

#[derive(Debug)]
struct Shared {
    incarnation: Incarnation,
    id: ServerId,
    acts: Mutex<VecDeque<Act>>,
    free: Mutex<u32>,
    arrivals: mpsc::UnboundedSender<Arrival>,
    interest: watch::Sender<BTreeMap<CustomerId, Interest>>,
    grants: Mutex<Vec<Grant>>,
    granted: Notify,
    declined: watch::Sender<Vec<u64>>,
    withdrawal: Mutex<Withdrawal>,
    withdrawn: watch::Sender<Vec<(Attempt, Option<KeyId>)>>,
    recalled: watch::Sender<Vec<KeyId>>,
    frozen: watch::Sender<bool>,
    released: Notify,
    abandoned: Notify,
    revision: Mutex<Revision>,
}

/// A running fake.
pub(crate) struct Fake {
    pub(crate) server: Server,
    shared: Arc<Shared>,
    arrivals: mpsc::UnboundedReceiver<Arrival>,
    cancel: CancellationToken,
    data_cancel: CancellationToken,
}

impl Fake {
    /// Starts a sidecar of a pool with some free slots.
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
        let (sender, arrivals) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared {
            incarnation: Incarnation(rand::random()),
            id: ServerId::of(name),
            acts: Mutex::default(),
            free: Mutex::new(free),
            arrivals: sender,
            interest: watch::Sender::default(),
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
            abandoned: Notify::new(),
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
            arrivals,
            cancel,
            data_cancel,
        }
    }

    /// Does this with the next request; afterwards answers "ok".
    pub(crate) fn then(&self, act: Act) -> &Self {
        self.shared.acts.lock().push_back(act);
        self
    }

    /// The next request that comes.
    pub(crate) async fn arrival(&mut self) -> Arrival {
        self.arrivals.recv().await.unwrap()
    }

    /// Requests that came and were not asked for.
    pub(crate) fn unread(&mut self) -> usize {
        std::iter::from_fn(|| self.arrivals.try_recv().ok()).count()
    }

    /// Waits until so much of a customer is declared.
    pub(crate) async fn declared(&self, customer: CustomerId, waiting: [u16; 3]) {
        let mut interest = self.shared.interest.subscribe();
        let held = |interest: &BTreeMap<CustomerId, Interest>| {
            interest.get(&customer).map_or([0; 3], |held| held.waiting) == waiting
        };
        interest.wait_for(held).await.unwrap();
    }

    /// Reserves a slot, and counts one request of the best class less, as sidecars do.
    pub(crate) fn grant(&self, id: u64, customer: CustomerId) {
        self.shared.interest.send_modify(|interest| {
            let held = interest.get_mut(&customer);
            let best = held.and_then(|held| held.waiting.iter_mut().find(|count| **count > 0));
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

    /// Forgets all that was declared.
    pub(crate) fn forget(&self) {
        self.shared.interest.send_modify(BTreeMap::clear);
    }

    /// Tells of free slots from now on.
    pub(crate) fn set_free(&self, free: u32) {
        *self.shared.free.lock() = free;
    }

    /// Waits until a slot is given back.
    pub(crate) async fn declined(&self, id: u64) {
        let mut declined = self.shared.declined.subscribe();
        declined.wait_for(|ids| ids.contains(&id)).await.unwrap();
    }

    /// What to answer to withdrawals.
    pub(crate) fn set_withdrawal(&self, outcome: Outcome, doubtful: bool) {
        *self.shared.withdrawal.lock() = Withdrawal { outcome, doubtful };
    }

    /// Waits for a withdrawal.
    pub(crate) async fn withdrawn(&self) -> (Attempt, Option<KeyId>) {
        let mut withdrawn = self.shared.withdrawn.subscribe();
        let held = withdrawn.wait_for(|held| !held.is_empty()).await.unwrap();
        held[0]
    }

    /// Keys told by the router.
    pub(crate) fn recalled(&self) -> Vec<KeyId> {
        self.shared.recalled.borrow().clone()
    }

    /// Lets a held answer go, or break off.
    pub(crate) fn release(&self) {
        self.shared.released.notify_one();
    }

    /// Waits until an endless answer is given up.
    pub(crate) async fn abandoned(&self) {
        self.shared.abandoned.notified().await;
    }

    /// Stops answering control calls, or begins again.
    pub(crate) fn freeze(&self, frozen: bool) {
        self.shared.frozen.send_replace(frozen);
    }

    /// Closes the data port.
    pub(crate) fn close_data(&self) {
        self.data_cancel.cancel();
    }

    /// Answers "ok" to all further requests.
    pub(crate) fn clear(&self) {
        self.shared.acts.lock().clear();
    }

    /// Highest revision of the configuration that came.
    pub(crate) fn revision(&self) -> Revision {
        *self.shared.revision.lock()
    }
}

impl Drop for Fake {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

impl Shared {
    async fn thaw(&self) {
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
