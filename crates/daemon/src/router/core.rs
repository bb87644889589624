//! State shared by the tasks of a router.

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
use super::pool_queues::PoolQueues;
use super::queued_request::Wakeup;
use super::request_table::RequestTable;
use super::running_counts::RunningCounts;
use super::sent_keys::SentKeys;
use super::shutdown::Shutdown;
use super::slot::Slot;
use super::stall_monitor::StallMonitor;
use crate::clock;
use crate::fleet::Fleet;

/// Memory limit for request bodies, in KiB.
const BODY_MEMORY_KIB: usize = 256 << 10;

/// State of a router.
pub(crate) struct Core {
    pub(crate) settings: Arc<settings::Router>,
    pub(crate) logger: Logger,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) queues: PoolQueues,
    pub(crate) links: Links,
    pub(crate) limiter: Mutex<Limiter>,
    pub(crate) retry_budget: Mutex<Budget>,
    pub(crate) requests: RequestTable,
    pub(crate) sent_keys: SentKeys,
    pub(crate) body_memory: Arc<Semaphore>,
    pub(crate) running_counts: RunningCounts,
    pub(crate) stall_monitor: StallMonitor,
    pub(crate) shutdown: Shutdown,
}

impl Core {
    pub(crate) fn new(settings: Arc<settings::Router>, logger: Logger, fleet: Arc<Fleet>) -> Self {
        let limits = &settings.limits;
        let limiter = Limiter::new(limits.queue_per_customer, limits.queue_total);
        let retry_budget = Budget::new(limits.retry_percent);
        let sent_keys = SentKeys::new(fleet.member().started_at, settings.retention_ms);
        Self {
            settings,
            logger,
            fleet,
            queues: PoolQueues::default(),
            links: Links::default(),
            limiter: Mutex::new(limiter),
            retry_budget: Mutex::new(retry_budget),
            requests: RequestTable::default(),
            sent_keys,
            body_memory: Arc::new(Semaphore::new(BODY_MEMORY_KIB)),
            running_counts: RunningCounts::default(),
            stall_monitor: StallMonitor::default(),
            shutdown: Shutdown::default(),
        }
    }

    /// This router's instance.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.fleet.member().incarnation
    }

    /// Assigns a reserved slot to the customer's next request; `false` if none is queued.
    pub(crate) fn assign_grant(&self, link: &Arc<Link>, grant: &Grant) -> bool {
        if link.status.is_excluded() {
            return false;
        }
        let queue = self.queues.get(link.pool);
        let eligible = self.links.eligible(link.pool);
        while let Some(entry) = queue.pop(grant.customer, link.id, &eligible) {
            let now = clock::now();
            self.limiter.lock().remove(entry.customer, true, now);
            let wakeup = Wakeup::Granted(Slot::granted(link, grant.id));
            let Err(Wakeup::Granted(mut slot)) = entry.payload.wakeup.send(wakeup) else {
                return true;
            };
            // The caller disconnected: the slot goes to the next request.
            slot.take_grant();
        }
        false
    }
}

impl fmt::Debug for Core {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Core").finish_non_exhaustive()
    }
}
