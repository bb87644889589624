//! Selection of the demand that is declared to one sidecar.

use mulberryyoke_decide::declare::{self, DeclaredDemand};
use mulberryyoke_decide::queue::Queue;
use mulberryyoke_model::{CustomerId, Interest, Millis, ServerId};

use super::queued_request::QueuedRequest;

/// Selects the demand that is declared to one sidecar.
#[derive(Debug)]
pub(crate) struct DemandSelector<'a> {
    pub(crate) server: ServerId,
    /// Whether the server is expected to have a free slot.
    pub(crate) has_free_slot: bool,
    /// Whether configuration or VM list exclude the server from new requests.
    pub(crate) excluded: bool,
    /// Servers of the pool that may get new requests.
    pub(crate) eligible: Vec<ServerId>,
    pub(crate) now: Millis,
    /// Demand declared to the sidecar so far.
    pub(crate) declared: &'a DeclaredDemand,
    /// Whether to include all customers, not only changed ones.
    pub(crate) all_customers: bool,
}

impl DemandSelector<'_> {
    /// Returns the demand of a customer to declare to the sidecar.
    pub(crate) fn interest(&self, queue: &Queue<QueuedRequest>, customer: CustomerId) -> Interest {
        let interest = queue.interest(customer, self.server);
        if !self.excluded && self.should_declare(queue, &interest) {
            return interest;
        }
        Interest {
            waiting: [0; 3],
            ..interest
        }
    }

    /// Demand already declared is kept up to date, so that it is not retracted early.
    fn should_declare(&self, queue: &Queue<QueuedRequest>, interest: &Interest) -> bool {
        let customer = interest.customer;
        self.has_free_slot
            || self.declared.contains(customer)
            || queue.has_pinned(customer, self.server)
            || declare::is_target(
                interest,
                queue.salt(customer),
                self.server,
                &self.eligible,
                queue.subqueues(),
                self.now,
            )
    }
}
