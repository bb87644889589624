//! What is known of a caller's request.

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use mulberryyoke_decide::placement::PromptPrefix;
use mulberryyoke_model::{Attempt, Class, CustomerId, KeyId, Millis, PoolId, Ticket};
use tokio::sync::OwnedSemaphorePermit;

/// Key of a request that must run at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Key {
    /// The key, hashed with the customer.
    pub(crate) id: KeyId,
    /// Whether the caller named it. Other requests may then carry it too; a key
    /// that the router made stands for this one request only.
    pub(crate) given: bool,
}

/// A caller's request, read and checked.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) attempt: Attempt,
    pub(crate) customer: CustomerId,
    /// The customer's weight.
    pub(crate) share: u32,
    /// The customer's own bound on waiting requests.
    pub(crate) queue: Option<u32>,
    pub(crate) pool: PoolId,
    pub(crate) class: Class,
    pub(crate) deadline: Millis,
    /// When it came.
    pub(crate) since: Millis,
    /// The caller's hint of the cost, in tokens; 0 for none.
    pub(crate) hint: u32,
    /// Estimated cost, in tokens.
    pub(crate) cost: u32,
    /// Set if it must run at most once.
    pub(crate) key: Option<Key>,
    /// Start of the prompt, if it is a model's.
    pub(crate) prefix: Option<PromptPrefix>,
    pub(crate) method: Method,
    pub(crate) path: String,
    /// End-to-end headers.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The body's portion of the router's memory for bodies.
    pub(crate) _memory: OwnedSemaphorePermit,
}

impl Call {
    /// What a sidecar needs to know of it. A copy that comes after `until` must
    /// not start: the sidecar may have forgotten by then that it was withdrawn.
    pub(crate) fn ticket(&self, grant: Option<u64>, until: Millis) -> Ticket {
        Ticket {
            attempt: self.attempt,
            customer: self.customer,
            class: self.class,
            deadline: self.deadline.min(until),
            hint: self.hint,
            cost: self.cost,
            grant,
            key: self.key.map(|key| key.id),
        }
    }

    /// Whether its caller stopped waiting.
    pub(crate) fn is_late(&self, now: Millis) -> bool {
        self.deadline <= now
    }
}
