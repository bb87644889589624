//! Usage reports.

use crate::{CustomerId, PoolId};
use serde::{Deserialize, Serialize};

/// Usage of a pool by a customer. Counted per pool, so that usage of one pool does not
/// delay a customer's requests in another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The pool.
    pub pool: PoolId,
    /// The customer.
    pub customer: CustomerId,
    /// Cumulative tokens since the reporting instance started.
    pub tokens: u64,
}

/// Cumulative usage reported by an origin. Applying it is idempotent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Sequence number within the origin's instance.
    pub sequence: u64,
    /// Counters that changed since the last acknowledged report.
    pub usage: Vec<Usage>,
}
