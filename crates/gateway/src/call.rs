//! A caller's request that was read whole and is allowed.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method};
use mulberryyoke_decide::engine::Prompt;
use mulberryyoke_model::{Digest, PoolId};
use tokio::time::Instant;

use crate::clock;
use crate::config::{Customer, Route};

/// A caller's request that was read whole and is allowed.
#[derive(Debug)]
pub(crate) struct Call {
    /// The caller's name for this attempt.
    pub(crate) id: String,
    /// Its route.
    pub(crate) route: Arc<Route>,
    /// The pool chosen among the route's.
    pub(crate) pool: PoolId,
    /// Whose it is; `None` on public routes.
    pub(crate) customer: Option<Arc<Customer>>,
    /// What it has a model read, if it is for a model.
    pub(crate) prompt: Option<Prompt>,
    /// The event after which the caller wants the stream to go on.
    pub(crate) resume_after: Option<u64>,
    /// When its head had come.
    pub(crate) since: Instant,
    /// When its answer is of no more use to the caller, or its route's time is over.
    /// In milliseconds of the boot clock.
    pub(crate) deadline: u64,
    pub(crate) method: Method,
    pub(crate) path: PathAndQuery,
    /// The caller's end-to-end headers.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Found when it is first asked for: bodies may be large.
    pub(crate) digest: OnceLock<Digest>,
}

impl Call {
    /// The customer's name, as servers are told it.
    pub(crate) fn customer_name(&self) -> Option<&str> {
        self.customer.as_ref().map(|customer| &*customer.name)
    }

    /// Time until its deadline, in milliseconds.
    pub(crate) fn left_ms(&self) -> u64 {
        self.deadline.saturating_sub(clock::now_ms())
    }

    /// What it has in common with its repeats.
    pub(crate) fn digest(&self) -> Digest {
        *self.digest.get_or_init(|| {
            let customer = self.customer_name().unwrap_or_default();
            Digest::of(
                self.method.as_str(),
                self.path.as_str(),
                customer,
                &self.body,
            )
        })
    }
}
