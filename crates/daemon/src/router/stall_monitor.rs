//! Detects responses that callers do not read.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};

use hyper::body::Incoming;
use mulberryyoke_model::Millis;
use parking_lot::Mutex;

/// A response body being forwarded, which is dropped if the caller stalls.
#[derive(Debug)]
pub(crate) struct MonitoredBody {
    incoming: Mutex<Option<Incoming>>,
    /// When a frame was forwarded without another poll since; 0 for none.
    forwarded_at: AtomicU64,
}

impl MonitoredBody {
    /// Accesses the server's body; `None` once it has been dropped.
    pub(crate) fn with_incoming<T>(&self, read: impl FnOnce(&mut Incoming) -> T) -> Option<T> {
        self.incoming.lock().as_mut().map(read)
    }

    /// Records that the caller's connection polled for a frame.
    pub(crate) fn record_polled(&self) {
        self.forwarded_at.store(0, Ordering::Relaxed);
    }

    /// Records that a frame was forwarded.
    pub(crate) fn record_forwarded(&self, now: Millis) {
        self.forwarded_at.store(now, Ordering::Relaxed);
    }

    fn is_stalled(&self, since: Millis) -> bool {
        let forwarded_at = self.forwarded_at.load(Ordering::Relaxed);
        forwarded_at != 0 && forwarded_at < since
    }
}

/// All response bodies being forwarded.
#[derive(Debug, Default)]
pub(crate) struct StallMonitor {
    bodies: Mutex<Vec<Weak<MonitoredBody>>>,
}

impl StallMonitor {
    /// Registers a response body.
    pub(crate) fn register(&self, incoming: Incoming) -> Arc<MonitoredBody> {
        let body = Arc::new(MonitoredBody {
            incoming: Mutex::new(Some(incoming)),
            forwarded_at: AtomicU64::new(0),
        });
        self.bodies.lock().push(Arc::downgrade(&body));
        body
    }

    /// Drops bodies that have not been polled since `since`, which frees their
    /// servers.
    pub(crate) fn drop_stalled(&self, since: Millis) {
        let mut bodies = self.bodies.lock();
        bodies.retain(|body| body.strong_count() > 0);
        let bodies = bodies.iter().filter_map(Weak::upgrade);
        for body in bodies.filter(|body| body.is_stalled(since)) {
            body.incoming.lock().take();
        }
    }
}
