//! Admission control of one sidecar: which waiting request the server runs next,
//! and the outcome of each attempt.
//!
//! [`Admission`] has to be guarded by a single lock, so that starting and
//! withdrawing an attempt are mutually exclusive.

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

/// Admission state of one sidecar: requests waiting at the linked routers,
/// reserved slots, running requests and the outcome of each attempt.
#[derive(Clone, Debug)]
pub struct Admission {
    pub(crate) setup: Setup,
    pub(crate) slots: u32,
    pub(crate) ledger: Ledger,
    pub(crate) reporter: Reporter,
    pub(crate) links: SlotMap<LinkKey, Link>,
    pub(crate) collector: Option<LinkKey>,
    /// By grant number, hence in order of expiry.
    pub(crate) reservations: BTreeMap<u64, Reservation>,
    pub(crate) next_grant: u64,
    pub(crate) running: HashMap<Attempt, Running>,
    pub(crate) attempts: Attempts,
    pub(crate) keys: Store,
    pub(crate) routers: Routers,
    pub(crate) stopping: bool,
    /// Whether the configured state of the server is not active.
    pub(crate) draining: bool,
    /// Whether the backend is unreachable.
    pub(crate) backend_down: bool,
    pub(crate) revision: Revision,
    /// Links whose poll may be due.
    pub(crate) ready_links: Vec<LinkKey>,
}

impl Admission {
    /// Admission state of a sidecar that has just started, without links.
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
            draining: false,
            backend_down: false,
            revision: 0,
            ready_links: Vec::new(),
        }
    }

    /// Customer accounts.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Number of running requests.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Number of reserved slots.
    #[must_use]
    pub fn reserved_count(&self) -> usize {
        self.reservations.len()
    }

    /// Number of slots neither in use nor reserved; zero while the backend is down.
    #[must_use]
    pub fn free_slots(&self) -> u32 {
        if self.backend_down {
            return 0;
        }
        let used = self.running.len() + self.reservations.len();
        self.slots
            .saturating_sub(u32::try_from(used).unwrap_or(u32::MAX))
    }

    /// Whether new requests are refused.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.stopping || self.draining
    }

    /// Current load and drain state, as sent to routers.
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

    /// Takes the links whose poll may have become due since the last call.
    pub fn take_ready_links(&mut self) -> Vec<LinkKey> {
        std::mem::take(&mut self.ready_links)
    }

    /// Refuses new requests from now on, for a planned stop.
    pub fn stop(&mut self) {
        self.stopping = true;
        self.revoke_unsent_grants();
        self.ready_links.extend(self.links.keys());
    }

    /// Sets whether the backend is unreachable. No slot is granted while it is.
    pub fn set_backend_down(&mut self, is_down: bool, now: Millis) {
        self.backend_down = is_down;
        self.expire_grants(now);
        self.grant_free_slots(now);
    }

    /// Whether the backend is unreachable.
    #[must_use]
    pub fn is_backend_down(&self) -> bool {
        self.backend_down
    }

    /// Outcome of an attempt, or of its key if the attempt is unknown.
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
