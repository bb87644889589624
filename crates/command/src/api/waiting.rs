//! Who is waiting, and why.

use mulberryyoke_model::{Class, Millis, Outcome};
use serde::{Deserialize, Serialize};

/// Waiting requests at the asked router.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WaitingList {
    /// Name of the asked router.
    pub router: String,
    /// Customers with waiting requests, the next to be served first.
    pub customers: Vec<CustomerQueue>,
    /// Waiting requests in the order in which they are served within a customer.
    pub requests: Vec<WaitingRequest>,
    /// Requests left out by the limit.
    pub more: u64,
    /// What became of the request that was asked for by its id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
}

/// A customer's standing beside the others'.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerQueue {
    /// The customer's name.
    pub customer: String,
    /// Its share.
    pub share: u32,
    /// Waiting requests by class: urgent, normal, deferrable.
    pub waiting: [u64; 3],
    /// Service received fleet-wide, in tokens, as far as known here.
    pub service: u64,
    /// Service divided by share, in tokens; the least is served first.
    pub per_share: f64,
    /// When its oldest waiting request arrived.
    pub since: Millis,
}

/// A waiting request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingRequest {
    /// The request id.
    pub request: String,
    /// The customer's name.
    pub customer: String,
    /// The pool's name.
    pub pool: String,
    /// Its class.
    pub class: Class,
    /// Position among the customer's requests of the pool, from 1.
    pub position: u64,
    /// When it arrived.
    pub since: Millis,
    /// When the caller stops waiting.
    pub deadline: Millis,
    /// What it waits for.
    pub reason: String,
}
