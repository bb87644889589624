//! State shared by the tasks of one sidecar.

use std::sync::Arc;

use mulberryyoke_decide::admission::{Admission, LinkKey, Scheduling, Setup};
use mulberryyoke_event::slog::Logger;
use mulberryyoke_model::{Change, Config, Incarnation, Millis, PoolId, Revision, ServerId};
use mulberryyoke_settings as settings;
use mulberryyoke_wire as wire;
use parking_lot::Mutex;
use slotmap::SecondaryMap;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::backend::Backend;
use super::registration::Registration;
use crate::clock;

/// State under one lock, so that starting and withdrawing an attempt are mutually
/// exclusive.
#[derive(Debug)]
struct State {
    admission: Admission,
    config: Config,
    polls: SecondaryMap<LinkKey, Arc<Notify>>,
}

/// State shared by the tasks of one sidecar.
#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<State>,
    pub(crate) setup: Setup,
    pub(crate) settings: settings::Sidecar,
    pub(crate) logger: Logger,
    pub(crate) backend: Backend,
    /// Registration of routers in the home record.
    pub(crate) registration: Registration,
    /// Cancelled at a planned stop once no request is running.
    pub(crate) idle: CancellationToken,
    /// Bytes transferred on the control links.
    pub(crate) control_bytes: Arc<wire::ByteCounter>,
    /// Notified when slots were reserved; wakes the expiry task.
    pub(crate) slots_reserved: Notify,
    /// Notified when the backend was marked down.
    pub(crate) backend_down: Notify,
    /// Notified when a request ended.
    pub(crate) request_ended: Notify,
    /// Cancelled when the drain deadline has passed or the sidecar is dropped.
    pub(crate) drain_expired: CancellationToken,
    /// Cancelled when the ports close.
    pub(crate) closed: CancellationToken,
    /// Tasks of running requests.
    pub(crate) tasks: TaskTracker,
}

impl Shared {
    pub(crate) fn new(settings: settings::Sidecar, logger: Logger) -> Arc<Self> {
        let now = clock::now();
        let setup = Setup {
            server: ServerId::of(&settings.name),
            pool: PoolId::of(&settings.pool),
            kind: settings.kind,
            incarnation: Incarnation(rand::random()),
            started_at: now,
            slots: settings.slots,
            scheduling: match settings.policy {
                settings::Policy::Fair => Scheduling::Fair,
                settings::Policy::Baseline => Scheduling::Immediate,
            },
            retention_ms: settings.retention_ms,
        };
        let state = State {
            admission: Admission::new(setup),
            config: Config::default(),
            polls: SecondaryMap::new(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
            backend: Backend::new(settings.backend),
            setup,
            settings,
            logger,
            registration: Registration::new(),
            idle: CancellationToken::new(),
            control_bytes: Arc::default(),
            slots_reserved: Notify::new(),
            backend_down: Notify::new(),
            request_ended: Notify::new(),
            drain_expired: CancellationToken::new(),
            closed: CancellationToken::new(),
            tasks: TaskTracker::new(),
        })
    }

    /// Runs a decision under the lock, then wakes the polls that are due.
    pub(crate) fn decide<T>(&self, decision: impl FnOnce(&mut Admission, Millis) -> T) -> T {
        let mut state = self.state.lock();
        let before = state.admission.reserved_count();
        let result = decision(&mut state.admission, clock::now());
        let has_reserved = before == 0 && state.admission.reserved_count() > 0;
        for link in state.admission.take_ready_links() {
            if let Some(poll) = state.polls.get(link) {
                poll.notify_one();
            }
        }
        drop(state);
        if has_reserved {
            self.slots_reserved.notify_one();
        }
        result
    }

    /// Marks the backend as unreachable and starts the probe.
    pub(crate) fn mark_backend_down(&self) {
        let was_down = self.decide(|admission, now| {
            let was_down = admission.is_backend_down();
            admission.set_backend_down(true, now);
            was_down
        });
        if !was_down {
            self.backend_down.notify_one();
        }
    }

    /// Registers a control link; the returned notification wakes its poll.
    pub(crate) fn connect(&self) -> (LinkKey, Arc<Notify>) {
        let poll = Arc::new(Notify::new());
        let mut state = self.state.lock();
        let link = state.admission.connect();
        state.polls.insert(link, Arc::clone(&poll));
        (link, poll)
    }

    /// Removes a control link.
    pub(crate) fn disconnect(&self, link: LinkKey) {
        self.decide(|admission, now| admission.disconnect(link, now));
        self.state.lock().polls.remove(link);
    }

    /// Applies committed configuration changes.
    pub(crate) fn configure(&self, changes: Vec<Change>) -> Revision {
        let mut state = self.state.lock();
        let State {
            admission, config, ..
        } = &mut *state;
        let mut is_newer = false;
        for change in changes {
            is_newer |= config.apply(change);
        }
        if is_newer {
            admission.configure(config, &self.settings.pool, clock::now());
        }
        let revision = config.revision;
        drop(state);
        // Wakes the polls that are due after the change.
        self.decide(|_, _| ());
        revision
    }

    /// Configuration changes after a revision.
    pub(crate) fn changes(&self, since: Revision) -> Vec<Change> {
        self.state.lock().config.since(since)
    }
}
