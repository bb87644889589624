//! Detects answers that callers do not read.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};

use hyper::body::Incoming;
use mulberryyoke_model::Millis;
use parking_lot::Mutex;

/// An answer being forwarded, whose body is dropped if the caller stalls.
#[derive(Debug)]
pub(crate) struct Flow {
    body: Mutex<Option<Incoming>>,
    /// When a frame was forwarded without another poll since; 0 for none.
    forwarded_at: AtomicU64,
}

impl Flow {
    /// Accesses the body; `None` once it has been dropped.
    pub(crate) fn with<T>(&self, use_body: impl FnOnce(&mut Incoming) -> T) -> Option<T> {
        self.body.lock().as_mut().map(use_body)
    }

    /// Records that the caller's connection polled for a frame.
    pub(crate) fn polled(&self) {
        self.forwarded_at.store(0, Ordering::Relaxed);
    }

    /// Records that a frame was forwarded.
    pub(crate) fn forwarded(&self, now: Millis) {
        self.forwarded_at.store(now, Ordering::Relaxed);
    }

    fn is_stalled(&self, since: Millis) -> bool {
        let forwarded_at = self.forwarded_at.load(Ordering::Relaxed);
        forwarded_at != 0 && forwarded_at < since
    }
}

/// All answers being forwarded.
#[derive(Debug, Default)]
pub(crate) struct Stalls {
    flows: Mutex<Vec<Weak<Flow>>>,
}

impl Stalls {
    /// Registers an answer.
    pub(crate) fn watch(&self, body: Incoming) -> Arc<Flow> {
        let flow = Arc::new(Flow {
            body: Mutex::new(Some(body)),
            forwarded_at: AtomicU64::new(0),
        });
        self.flows.lock().push(Arc::downgrade(&flow));
        flow
    }

    /// Drops the bodies of answers not polled since `since`, which frees their
    /// servers.
    pub(crate) fn release(&self, since: Millis) {
        let mut flows = self.flows.lock();
        flows.retain(|flow| flow.strong_count() > 0);
        let flows = flows.iter().filter_map(Weak::upgrade);
        for flow in flows.filter(|flow| flow.is_stalled(since)) {
            flow.body.lock().take();
        }
    }
}
