//! Which waiting request a server runs next, and the truth about each attempt.
//!
//! [`Admission`] is the state of one sidecar. The role keeps it under one lock,
//! so a start and a withdrawal exclude each other.

mod admit;
mod attempts;
mod check;
mod configure;
mod decision;
mod grants;
mod link;
mod poll;
mod record;
mod running;
mod setup;
mod withdraw;

pub use attempts::Attempts;
pub use decision::{Decision, Termination};
pub use grants::GRANT_TTL;
pub use link::{Link, LinkKey};
pub use poll::Due;
pub use setup::{Scheduling, Setup};

use std::collections::{BTreeMap, HashMap};

use mulberryyoke_model::{Attempt, Load, Millis, Outcome, Revision};
use slotmap::SlotMap;

use crate::account::{Ledger, Reporter};
use crate::key::{Routers, Store};
use grants::Reservation;
use running::Running;

/// The state of one sidecar: what waits at the routers linked to it, what is
/// reserved, what runs, and what became of each attempt.
#[derive(Clone, Debug)]
pub struct Admission {
    pub(crate) setup: Setup,
    pub(crate) slots: u32,
    pub(crate) ledger: Ledger,
    pub(crate) reporter: Reporter,
    pub(crate) links: SlotMap<LinkKey, Link>,
    pub(crate) collector: Option<LinkKey>,
    /// By identity, so by the instant at which they lapse.
    pub(crate) reservations: BTreeMap<u64, Reservation>,
    pub(crate) next_grant: u64,
    pub(crate) running: HashMap<Attempt, Running>,
    pub(crate) attempts: Attempts,
    pub(crate) keys: Store,
    pub(crate) routers: Routers,
    pub(crate) stopping: bool,
    pub(crate) leaving: bool,
    /// Whether the backend cannot be reached.
    pub(crate) down: bool,
    pub(crate) revision: Revision,
    /// Links whose poll may have something to tell.
    pub(crate) woken: Vec<LinkKey>,
}

impl Admission {
    /// A sidecar without links, at the start of its life.
    #[must_use]
    pub fn new(setup: Setup) -> Self {
        Self {
            setup,
            slots: setup.slots,
            ledger: Ledger::new(setup.incarnation.0),
            reporter: Reporter::new(setup.pool),
            links: SlotMap::with_key(),
            collector: None,
            reservations: BTreeMap::new(),
            next_grant: 1,
            running: HashMap::new(),
            attempts: Attempts::new(setup.retention_ms),
            keys: Store::new(setup.retention_ms, setup.started_at),
            routers: Routers::default(),
            stopping: false,
            leaving: false,
            down: false,
            revision: 0,
            woken: Vec::new(),
        }
    }

    /// Accounts of the customers.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Requests that run now.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Slots reserved now.
    #[must_use]
    pub fn reserved_count(&self) -> usize {
        self.reservations.len()
    }

    /// Slots neither running nor reserved; none while the backend is down.
    #[must_use]
    pub fn free_slots(&self) -> u32 {
        if self.down {
            return 0;
        }
        let used = self.running.len() + self.reservations.len();
        self.slots
            .saturating_sub(u32::try_from(used).unwrap_or(u32::MAX))
    }

    /// Whether new work is refused.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.stopping || self.leaving
    }

    /// The server's load and standing.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            server: self.setup.server,
            incarnation: self.setup.incarnation,
            started_at: self.setup.started_at,
            revision: self.revision,
            slots: self.slots,
            free: self.free_slots(),
            draining: self.is_draining(),
        }
    }

    /// Links whose poll may have something to tell since the last call.
    pub fn take_ready_links(&mut self) -> Vec<LinkKey> {
        std::mem::take(&mut self.woken)
    }

    /// Refuses new work from now on: a planned stop.
    pub fn stop(&mut self) {
        self.stopping = true;
        self.take_back_untold();
        self.woken.extend(self.links.keys());
    }

    /// Notes whether the backend can be reached. Nothing is started while it
    /// cannot.
    pub fn set_backend_down(&mut self, down: bool, now: Millis) {
        self.down = down;
        self.expire(now);
        self.fill(now);
    }

    /// Whether the backend cannot be reached.
    #[must_use]
    pub fn is_backend_down(&self) -> bool {
        self.down
    }

    /// What became of an attempt or its key.
    pub fn outcome(
        &mut self,
        attempt: Attempt,
        key: Option<mulberryyoke_model::KeyId>,
        now: Millis,
    ) -> Outcome {
        if let Some(outcome) = self.attempts.outcome(attempt) {
            return outcome;
        }
        key.map_or(Outcome::Unknown, |key| self.keys.outcome(key, now))
    }

    pub(crate) fn is_fair(&self) -> bool {
        self.setup.scheduling == Scheduling::Fair
    }
}
