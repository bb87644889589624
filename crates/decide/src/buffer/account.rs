//! What a request and its response hold.

use mulberryyoke_model::{CustomerId, Millis};
use slotmap::new_key_type;

new_key_type! {
    /// Key of the account of a request and its response.
    pub struct AccountKey;
}

/// What a request and its response hold.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Account {
    /// `None` on public routes, whose callers count as one customer.
    pub(super) customer: Option<CustomerId>,
    /// Bytes of the request body.
    pub(super) request: u64,
    /// Bytes of the response that the caller has not taken.
    pub(super) response: u64,
    /// When the caller is cut unless it takes something. `None` until the response is offered to
    /// the caller; meaningless while it holds nothing.
    pub(super) stall_deadline: Option<Millis>,
}

impl Account {
    pub(super) fn is_stalled(&self, now: Millis) -> bool {
        self.response > 0 && self.stall_deadline.is_some_and(|deadline| deadline <= now)
    }
}
