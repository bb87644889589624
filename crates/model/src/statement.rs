//! Messages of the usage exchange between routers.

use serde::{Deserialize, Serialize};

use crate::{CustomerId, Incarnation, Millis, PoolId};

/// Token counter of a customer and its growth rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Flow {
    /// The customer.
    pub customer: CustomerId,
    /// Cumulative tokens.
    pub tokens: u64,
    /// Growth rate in tokens per second, for extrapolation until the next message.
    pub rate: u32,
}

/// Counters of the customers of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolCounters {
    /// The pool.
    pub pool: PoolId,
    /// Counters by customer.
    pub flows: Vec<Flow>,
}

/// Relation of the sender of a statement to its receiver.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Relation {
    /// Peers exchange their counters with each other.
    #[default]
    Peer,
    /// The sender reports its counters to the receiver and receives the totals.
    Child,
    /// The sender reports the totals.
    Parent,
}

/// Digest entry: sum of the counters known of an origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginSum {
    /// Instance of the origin.
    pub origin: Incarnation,
    /// Sum of the known counters; `u64::MAX` if the sender is the origin or recently received a
    /// message from it, so that its counters need not be relayed.
    pub sum: u64,
}

/// Counters of an origin, relayed by another router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginCounters {
    /// Instance of the origin.
    pub origin: Incarnation,
    /// Start time of the instance.
    pub started_at: Millis,
    /// All or some of its counters.
    pub pools: Vec<PoolCounters>,
}

/// A message of the usage exchange. Processing it is idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Relation of the sender to the receiver.
    pub relation: Relation,
    /// Receiving instance; other instances ignore the message.
    pub to: Incarnation,
    /// Sequence number between the two instances.
    pub sequence: u64,
    /// Last sequence number that the sender received from the receiver.
    pub acknowledged: u64,
    /// Age of the data behind the counters in milliseconds: of the reports from sidecars and
    /// children, or of the inputs of a parent's totals.
    pub age_ms: u32,
    /// Own counters of a peer or child, or totals of a parent.
    pub pools: Vec<PoolCounters>,
    /// Sums known to the sender by origin; sent periodically.
    pub digest: Vec<OriginSum>,
    /// Counters of other origins that the receiver lacks.
    pub relayed: Vec<OriginCounters>,
}
