//! How much of the waiting requests one sidecar is told.

use mulberryyoke_decide::declare::{self, DeclaredDemand};
use mulberryyoke_decide::queue::Queue;
use mulberryyoke_model::{CustomerId, Interest, Millis, ServerId};

use super::waiter::Waiter;

/// What decides how much of the queue a sidecar is told.
#[derive(Debug)]
pub(crate) struct Look<'a> {
    pub(crate) server: ServerId,
    /// Whether the server should have a free slot.
    pub(crate) has_free: bool,
    /// Whether the server gets no new work.
    pub(crate) closed: bool,
    /// Servers of the pool that may get new work.
    pub(crate) open: Vec<ServerId>,
    pub(crate) now: Millis,
    /// What the sidecar was told.
    pub(crate) told: &'a DeclaredDemand,
    /// Whether every customer is looked at, not only those with changes.
    pub(crate) all: bool,
}

impl Look<'_> {
    /// What the sidecar is to be told of a customer.
    pub(crate) fn interest(&self, queue: &Queue<Waiter>, customer: CustomerId) -> Interest {
        let interest = queue.interest(customer, self.server);
        if !self.closed && self.wants(queue, &interest) {
            return interest;
        }
        Interest {
            waiting: [0; 3],
            ..interest
        }
    }

    /// What was told is kept up, so that nothing is told to take it back early.
    fn wants(&self, queue: &Queue<Waiter>, interest: &Interest) -> bool {
        let customer = interest.customer;
        self.has_free
            || self.told.contains(customer)
            || queue.has_pinned(customer, self.server)
            || declare::is_target(
                interest,
                queue.salt(customer),
                self.server,
                &self.open,
                queue.subqueues(),
                self.now,
            )
    }
}
