//! State shared by the tasks of a gateway.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;

use arc_swap::ArcSwap;
use mulberryyoke_decide::log_limit::LogLimit;
use mulberryyoke_decide::share::Shares;
use mulberryyoke_event::slog::Logger;
use mulberryyoke_platform::kv::Feed;
use mulberryyoke_settings as settings;
use parking_lot::Mutex;
use tokio_util::task::TaskTracker;

use crate::buffers::Buffers;
use crate::exchange::Exchange;
use crate::memory;
use crate::mirror::Mirror;
use crate::outages::Outages;
use crate::overload::Overload;
use crate::protocol::Protocol;
use crate::quarantine::Quarantine;
use crate::registry::Registry;
use crate::retry_budgets::RetryBudgets;
use crate::shutdown::Shutdown;
use crate::streams::Streams;
use crate::view::View;
use crate::waiting::Waiting;

/// State of a gateway.
pub(crate) struct Core {
    pub(crate) settings: ArcSwap<settings::Gateway>,
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) feed: Arc<dyn Feed>,
    pub(crate) logger: Logger,
    pub(crate) view: View,
    pub(crate) registry: Registry,
    pub(crate) mirror: Mirror,
    pub(crate) memory: memory::Guard,
    pub(crate) exchange: Exchange,
    pub(crate) shares: Mutex<Shares>,
    pub(crate) quarantine: Quarantine,
    pub(crate) streams: Streams,
    pub(crate) retry_budgets: RetryBudgets,
    pub(crate) outages: Outages,
    /// Limit on lines about values in the key-value service that can't be parsed.
    pub(crate) unreadable_log: Mutex<LogLimit>,
    pub(crate) waiting: Waiting,
    /// Number of callers' open connections.
    pub(crate) connections: AtomicU32,
    pub(crate) overload: Overload,
    pub(crate) buffers: Arc<Buffers>,
    /// Tasks that forward handed-off connections.
    pub(crate) handoffs: TaskTracker,
    pub(crate) shutdown: Shutdown,
}

impl fmt::Debug for Core {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Core").finish_non_exhaustive()
    }
}
