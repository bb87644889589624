//! Limit of the informational (1xx) responses before a response. They are not part of the response
//! head, so that no limit of its size applies to them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use hyper::{Request, ext};
use tokio::sync::Notify;

/// Maximum number of informational responses before a response.
const MAX_RESPONSES: u32 = 32;

/// Counts the informational responses to a request.
#[derive(Debug, Default)]
pub struct Informational {
    count: AtomicU32,
    exceeded: Notify,
}

impl Informational {
    /// Counts the informational responses to this request.
    #[must_use]
    pub fn count<B>(request: &mut Request<B>) -> Arc<Self> {
        let informational = Arc::new(Self::default());
        let counter = Arc::clone(&informational);
        ext::on_informational(request, move |_| counter.record());
        informational
    }

    fn record(&self) {
        if self.count.fetch_add(1, Ordering::Relaxed) == MAX_RESPONSES {
            self.exceeded.notify_one();
        }
    }

    /// Waits until there are more than the maximum number.
    pub async fn exceeded(&self) {
        self.exceeded.notified().await;
    }
}
