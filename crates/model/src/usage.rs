//! Service received by customers.

use crate::{CustomerId, PoolId};
use serde::{Deserialize, Serialize};

/// Service of one customer in one pool, in tokens. Customers share the capacity
/// of a pool, so service is counted for each pool by itself: a customer that is
/// served well in one pool must not wait for that in another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The pool that gave the service.
    pub pool: PoolId,
    /// The customer.
    pub customer: CustomerId,
    /// Cumulative tokens since the reporter's life began.
    pub tokens: u64,
}

/// Cumulative service given by one origin, idempotent to apply.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Sequence number within the origin's life.
    pub sequence: u64,
    /// Customers whose count has changed since the last acknowledged report.
    pub usage: Vec<Usage>,
}
