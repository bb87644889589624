//! State shared by the router's tasks.

use std::fmt;
use std::sync::Arc;

use mulberryyoke_decide::limiter::Limiter;
use mulberryyoke_decide::retry::Budget;
use mulberryyoke_event::slog::Logger;
use mulberryyoke_model::{Grant, Incarnation};
use mulberryyoke_settings as settings;
use parking_lot::Mutex;
use tokio::sync::Semaphore;

use super::link::Link;
use super::links::Links;
use super::place::Place;
use super::pool_queues::PoolQueues;
use super::queued_request::Wakeup;
use super::request_table::RequestTable;
use super::running_counts::RunningCounts;
use super::sent_keys::SentKeys;
use super::stalls::Stalls;
use super::stop::Stop;
use crate::clock;
use crate::fleet::Fleet;

/// Memory limit for request bodies, in KiB.
const BODY_KIB: usize = 256 << 10;

/// Shared state of a router.
pub(crate) struct Core {
    pub(crate) settings: Arc<settings::Router>,
    pub(crate) logger: Logger,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) queues: PoolQueues,
    pub(crate) links: Links,
    pub(crate) limit: Mutex<Limiter>,
    pub(crate) budget: Mutex<Budget>,
    pub(crate) requests: RequestTable,
    pub(crate) sent_keys: SentKeys,
    pub(crate) bodies: Arc<Semaphore>,
    pub(crate) running_counts: RunningCounts,
    pub(crate) stalls: Stalls,
    pub(crate) stop: Stop,
}

impl Core {
    pub(crate) fn new(settings: Arc<settings::Router>, logger: Logger, fleet: Arc<Fleet>) -> Self {
        let limits = &settings.limits;
        let limit = Limiter::new(limits.queue_per_customer, limits.queue_total);
        let budget = Budget::new(limits.retry_percent);
        let sent_keys = SentKeys::new(fleet.member().started_at, settings.retention_ms);
        Self {
            settings,
            logger,
            fleet,
            queues: PoolQueues::default(),
            links: Links::default(),
            limit: Mutex::new(limit),
            budget: Mutex::new(budget),
            requests: RequestTable::default(),
            sent_keys,
            bodies: Arc::new(Semaphore::new(BODY_KIB)),
            running_counts: RunningCounts::default(),
            stalls: Stalls::default(),
            stop: Stop::default(),
        }
    }

    /// This router's instance.
    pub(crate) fn origin(&self) -> Incarnation {
        self.fleet.member().incarnation
    }

    /// Gives a reserved slot to the customer's next request; `false` if none is queued.
    pub(crate) fn grant(&self, link: &Arc<Link>, grant: &Grant) -> bool {
        if link.status.is_excluded() {
            return false;
        }
        let queue = self.queues.get(link.pool);
        let eligible = self.links.eligible(link.pool);
        while let Some(entry) = queue.pop(grant.customer, link.id, &eligible) {
            let now = clock::now();
            self.limit.lock().remove(entry.customer, true, now);
            let wakeup = Wakeup::Granted(Place::granted(link, grant.id));
            let Err(Wakeup::Granted(mut place)) = entry.payload.wakeup.send(wakeup) else {
                return true;
            };
            // The caller disconnected: the slot goes to the next request.
            place.take();
        }
        false
    }
}

impl fmt::Debug for Core {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Core").finish_non_exhaustive()
    }
}
