//! Answers that their callers do not read.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};

use hyper::body::Incoming;
use mulberryyoke_model::Millis;
use parking_lot::Mutex;

/// An answer on its way, which may be let go of while its caller stalls.
#[derive(Debug)]
pub(crate) struct Flow {
    body: Mutex<Option<Incoming>>,
    /// When a piece was handed on and nothing asked for since; 0 for never.
    handed_at: AtomicU64,
}

impl Flow {
    /// Uses the body; `None` once it was let go of.
    pub(crate) fn with<T>(&self, use_body: impl FnOnce(&mut Incoming) -> T) -> Option<T> {
        self.body.lock().as_mut().map(use_body)
    }

    /// Notes that the caller's connection asks for more.
    pub(crate) fn asked(&self) {
        self.handed_at.store(0, Ordering::Relaxed);
    }

    /// Notes that a piece was handed on.
    pub(crate) fn handed(&self, now: Millis) {
        self.handed_at.store(now, Ordering::Relaxed);
    }

    fn is_stalled(&self, since: Millis) -> bool {
        let handed_at = self.handed_at.load(Ordering::Relaxed);
        handed_at != 0 && handed_at < since
    }
}

/// All answers on their way.
#[derive(Debug, Default)]
pub(crate) struct Stalls {
    flows: Mutex<Vec<Weak<Flow>>>,
}

impl Stalls {
    /// Begins to watch over an answer.
    pub(crate) fn watch(&self, body: Incoming) -> Arc<Flow> {
        let flow = Arc::new(Flow {
            body: Mutex::new(Some(body)),
            handed_at: AtomicU64::new(0),
        });
        self.flows.lock().push(Arc::downgrade(&flow));
        flow
    }

    /// Lets go of the answers of which nothing was asked for since an instant,
    /// which frees their servers.
    pub(crate) fn release(&self, since: Millis) {
        let mut flows = self.flows.lock();
        flows.retain(|flow| flow.strong_count() > 0);
        let flows = flows.iter().filter_map(Weak::upgrade);
        for flow in flows.filter(|flow| flow.is_stalled(since)) {
            flow.body.lock().take();
        }
    }
}
