//! Service received by customers.

use crate::CustomerId;
use serde::{Deserialize, Serialize};

/// Service of one customer, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
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
