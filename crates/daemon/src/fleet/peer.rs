//! One peer router.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mulberryyoke_model::{Revision, ServerId};
use mulberryyoke_wire::{self as wire, Bytes, Member, RouterClient};
use parking_lot::Mutex;
use tarpc::context::Context;

/// Longest time that a peer may take to answer, in milliseconds.
const ANSWER_MS: u64 = 2_000;

/// One peer router.
pub(super) struct Peer {
    pub(super) name: String,
    pub(super) address: SocketAddr,
    client: tokio::sync::Mutex<Option<RouterClient>>,
    heard: Mutex<Option<Heard>>,
}

/// What a peer said last.
#[derive(Clone)]
pub(super) struct Heard {
    pub(super) member: Member,
    pub(super) at: Instant,
    pub(super) revision: Revision,
    pub(super) idle: Vec<ServerId>,
}

impl Peer {
    pub(super) fn new(name: String, address: SocketAddr) -> Self {
        Self {
            name,
            address,
            client: tokio::sync::Mutex::default(),
            heard: Mutex::default(),
        }
    }

    /// The link to the peer, connected if need be.
    pub(super) async fn client(&self, bytes: &Arc<Bytes>) -> Option<RouterClient> {
        let mut held = self.client.lock().await;
        if held.is_none() {
            let connect = wire::connect_router(self.address, Arc::clone(bytes));
            let connected = tokio::time::timeout(Duration::from_millis(ANSWER_MS), connect).await;
            *held = connected.ok()?.ok();
        }
        held.clone()
    }

    /// Drops the link after a failure.
    pub(super) async fn disconnect(&self) {
        *self.client.lock().await = None;
    }

    pub(super) fn heard(&self) -> Option<Heard> {
        self.heard.lock().clone()
    }

    pub(super) fn set_heard(&self, heard: Heard) {
        *self.heard.lock() = Some(heard);
    }
}

/// Context of a call that is given up after [`ANSWER_MS`].
pub(super) fn context() -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + Duration::from_millis(ANSWER_MS);
    context
}
