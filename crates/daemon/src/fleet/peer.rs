//! One other router.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use mulberryyoke_decide::exchange::Instance;
use mulberryyoke_model::{Relation, Revision, ServerId};
use mulberryyoke_wire::{self as wire, ByteCounter, Member, RouterClient};
use parking_lot::Mutex;
use tarpc::context::Context;
use tokio::time::timeout;

/// Longest time that another router may take to answer.
pub(super) const ANSWER: Duration = Duration::from_secs(2);

/// Least time between two comparisons of the whole configuration with one router.
const COMPARE: Duration = Duration::from_secs(10);

/// One other router.
pub(super) struct Peer {
    pub(super) name: String,
    pub(super) address: SocketAddr,
    pub(super) calling: Flag,
    pub(super) fetching: Flag,
    link: tokio::sync::Mutex<Option<RouterClient>>,
    heard: Mutex<Option<Heard>>,
    compared_at: Mutex<Option<Instant>>,
}

/// What a router said last.
#[derive(Clone)]
pub(super) struct Heard {
    pub(super) member: Member,
    pub(super) at: Instant,
    pub(super) revision: Revision,
    pub(super) idle: Vec<ServerId>,
    /// What it is to this router, if it said.
    pub(super) relation: Option<Relation>,
}

impl Heard {
    pub(super) fn life(&self) -> Instance {
        life(&self.member)
    }
}

/// The life of a router.
pub(super) fn life(member: &Member) -> Instance {
    Instance {
        incarnation: member.incarnation,
        started_at: member.started_at,
    }
}

impl Peer {
    pub(super) fn new(name: String, address: SocketAddr) -> Self {
        Self {
            name,
            address,
            calling: Flag::default(),
            fetching: Flag::default(),
            link: tokio::sync::Mutex::default(),
            heard: Mutex::default(),
            compared_at: Mutex::default(),
        }
    }

    /// The link to the router, connected if need be.
    pub(super) async fn client(&self, bytes: &Arc<ByteCounter>) -> Option<RouterClient> {
        let mut held = self.link.lock().await;
        if held.is_none() {
            let connect = wire::connect_router(self.address, Arc::clone(bytes));
            *held = timeout(ANSWER, connect).await.ok()?.ok();
        }
        held.clone()
    }

    /// Drops the link after a failure.
    pub(super) async fn disconnect(&self) {
        *self.link.lock().await = None;
    }

    pub(super) fn heard(&self) -> Option<Heard> {
        self.heard.lock().clone()
    }

    pub(super) fn replace_heard(&self, heard: Heard) -> Option<Heard> {
        self.heard.lock().replace(heard)
    }

    /// Whether the whole configuration may be compared again; notes that it is.
    pub(super) fn may_compare(&self) -> bool {
        let mut compared_at = self.compared_at.lock();
        let may = compared_at.is_none_or(|at| at.elapsed() >= COMPARE);
        if may {
            *compared_at = Some(Instant::now());
        }
        may
    }
}

/// Context of a call that is given up in time.
pub(super) fn context() -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + ANSWER;
    context
}

/// Something that one task at a time does.
#[derive(Default)]
pub(super) struct Flag(AtomicBool);

/// Resets the flag when dropped.
pub(super) struct Raised<'a>(&'a Flag);

impl Flag {
    /// Raises the flag unless it is.
    pub(super) fn raise(&self) -> Option<Raised<'_>> {
        let raised = self.0.swap(true, Ordering::Acquire);
        (!raised).then_some(Raised(self))
    }
}

impl Drop for Raised<'_> {
    fn drop(&mut self) {
        self.0.0.store(false, Ordering::Release);
    }
}
