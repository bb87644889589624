//! State shared by the ports of one sidecar.

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
use super::home::Home;
use crate::clock;

/// What the one lock guards: a start and a withdrawal exclude each other.
#[derive(Debug)]
struct State {
    admission: Admission,
    config: Config,
    polls: SecondaryMap<LinkKey, Arc<Notify>>,
}

/// State shared by the ports of one sidecar.
#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<State>,
    pub(crate) setup: Setup,
    pub(crate) settings: settings::Sidecar,
    pub(crate) logger: Logger,
    pub(crate) backend: Backend,
    /// Requests' side of the home record.
    pub(crate) home: Home,
    /// Cancelled at a planned stop once nothing runs any more.
    pub(crate) idle: CancellationToken,
    /// Bytes on the control links.
    pub(crate) control_bytes: Arc<wire::ByteCounter>,
    /// Fires when slots were reserved, for the timer of lapses.
    pub(crate) reserved: Notify,
    /// Fires when the backend was found down.
    pub(crate) down: Notify,
    /// Fires when a request ended.
    pub(crate) ended: Notify,
    /// Cancelled when a planned stop's deadline has passed.
    pub(crate) cut: CancellationToken,
    /// Cancelled when the ports close.
    pub(crate) closed: CancellationToken,
    /// Tasks of running requests.
    pub(crate) tasks: TaskTracker,
}

impl Shared {
    pub(crate) fn open(settings: settings::Sidecar, logger: Logger) -> Arc<Self> {
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
            backend: Backend::open(settings.backend),
            setup,
            settings,
            logger,
            home: Home::open(),
            idle: CancellationToken::new(),
            control_bytes: Arc::default(),
            reserved: Notify::new(),
            down: Notify::new(),
            ended: Notify::new(),
            cut: CancellationToken::new(),
            closed: CancellationToken::new(),
            tasks: TaskTracker::new(),
        })
    }

    /// Runs one decision under the lock, then wakes the polls it concerns.
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
            self.reserved.notify_one();
        }
        result
    }

    /// Notes that the backend cannot be reached.
    pub(crate) fn found_down(&self) {
        let was_down = self.decide(|admission, now| {
            let was_down = admission.is_backend_down();
            admission.set_backend_down(true, now);
            was_down
        });
        if !was_down {
            self.down.notify_one();
        }
    }

    /// A control link came up; the notification wakes its poll.
    pub(crate) fn connect(&self) -> (LinkKey, Arc<Notify>) {
        let poll = Arc::new(Notify::new());
        let mut state = self.state.lock();
        let link = state.admission.connect();
        state.polls.insert(link, Arc::clone(&poll));
        (link, poll)
    }

    /// A control link closed.
    pub(crate) fn disconnect(&self, link: LinkKey) {
        self.decide(|admission, now| admission.disconnect(link, now));
        self.state.lock().polls.remove(link);
    }

    /// Applies accepted configuration.
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
        // Wakes the polls that the configuration concerns.
        self.decide(|_, _| ());
        revision
    }

    /// Configuration newer than a revision.
    pub(crate) fn changes(&self, since: Revision) -> Vec<Change> {
        self.state.lock().config.since(since)
    }
}
