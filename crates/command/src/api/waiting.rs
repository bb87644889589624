//! Queued requests.

use mulberryyoke_model::{Class, Millis, Outcome};
use serde::{Deserialize, Serialize};

/// Queued requests of a router.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WaitingList {
    /// Name of the router.
    pub router: String,
    /// Customers with queued requests, in the order in which they are served.
    pub customers: Vec<CustomerQueue>,
    /// Queued requests, in the order in which they are served within a customer.
    pub requests: Vec<WaitingRequest>,
    /// Number of requests omitted because of the limit.
    pub more: u64,
    /// Outcome of the request that the query names.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
}

/// Queue and received service of a customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerQueue {
    /// Name of the customer.
    pub customer: String,
    /// Weight of the customer's share.
    pub share: u32,
    /// Number of queued requests by class: urgent, normal, deferrable.
    pub waiting: [u64; 3],
    /// Service received from the whole fleet, in tokens, as far as known.
    pub service: u64,
    /// Service divided by the share, in tokens; the lowest is served first.
    pub per_share: f64,
    /// Arrival time of the oldest queued request.
    pub since: Millis,
}

/// A queued request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingRequest {
    /// Request ID.
    pub request: String,
    /// Name of the customer.
    pub customer: String,
    /// Name of the pool.
    pub pool: String,
    /// Class of the request.
    pub class: Class,
    /// Position in the customer's queue for the pool, from 1.
    pub position: u64,
    /// Arrival time.
    pub since: Millis,
    /// Deadline of the caller.
    pub deadline: Millis,
    /// Reason why it waits.
    pub reason: String,
}
