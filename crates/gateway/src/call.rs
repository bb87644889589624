//! Validated request of a caller.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, OnceLock};

use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method};
use mulberryyoke_decide::engine::Prompt;
use mulberryyoke_model::{Digest, PoolId, StreamId, VersionId};
use tokio::time::Instant;

use crate::buffers::Account;
use crate::clock;
use crate::config::{Customer, RequestKind, Route};
use crate::request_body::RequestBody;

/// A request that was read completely, routed and authorized.
#[derive(Debug)]
pub(crate) struct Call {
    /// Request ID, unique for each attempt of the caller.
    pub(crate) id: String,
    pub(crate) route: Arc<Route>,
    /// Pool selected among those of the route.
    pub(crate) pool: PoolId,
    /// `None` on public routes.
    pub(crate) customer: Option<Arc<Customer>>,
    /// Set if the request is for a model.
    pub(crate) prompt: Option<Prompt>,
    /// Last event that the caller received of a stream to be resumed.
    pub(crate) resume_after: Option<u64>,
    /// The stream to be resumed, if the caller names it.
    pub(crate) resumed_stream: Option<StreamId>,
    /// Version that began the stream to be resumed, once it is known.
    pub(crate) origin: OnceLock<VersionId>,
    /// When the head was received.
    pub(crate) received_at: Instant,
    /// Earlier of the caller's and the route's timeout, in milliseconds of the boot clock.
    pub(crate) deadline_ms: u64,
    pub(crate) method: Method,
    pub(crate) path: PathAndQuery,
    /// End-to-end headers of the caller.
    pub(crate) headers: HeaderMap,
    pub(crate) body: RequestBody,
    /// Account of what the request and its response hold; `None` without a budget.
    pub(crate) account: Option<Arc<Account>>,
    /// Computed on first use, since bodies may be large.
    pub(crate) digest: OnceLock<Digest>,
    /// Whether it was sent to a server.
    pub(crate) is_sent: AtomicBool,
    /// Whether it is recorded how the stream started.
    pub(crate) is_start_recorded: AtomicBool,
}

impl Call {
    /// Name of the customer, as it is sent to servers.
    pub(crate) fn customer_name(&self) -> Option<&str> {
        self.customer.as_ref().map(|customer| &*customer.name)
    }

    /// Time until the deadline, in milliseconds.
    pub(crate) fn remaining_ms(&self) -> u64 {
        self.deadline_ms.saturating_sub(clock::now_ms())
    }

    /// Releases the body. No attempt may follow.
    pub(crate) fn release_body(&self) {
        // Failures that are recorded later need it.
        self.digest();
        self.body.release();
    }

    /// Whether its caller asks to resume a stream. Other routes know no such requests, whatever their
    /// callers state.
    pub(crate) fn asks_to_resume(&self) -> bool {
        self.resume_after.is_some() && self.route.kind == RequestKind::Resumable
    }

    /// Whether it resumes a stream that is known to have begun. What a caller states alone gives it
    /// no place before others.
    pub(crate) fn is_resumption(&self) -> bool {
        self.origin.get().is_some()
    }

    /// Identifies the stream that this attempt of the caller begins.
    pub(crate) fn stream(&self) -> StreamId {
        StreamId::of(self.customer_name().unwrap_or_default(), &self.id)
    }

    /// Identifies the request across retries.
    pub(crate) fn digest(&self) -> Digest {
        *self.digest.get_or_init(|| {
            let customer = self.customer_name().unwrap_or_default();
            Digest::of(
                self.method.as_str(),
                self.path.as_str(),
                customer,
                &self.body.bytes(),
            )
        })
    }
}
