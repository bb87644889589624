//! Messages of the usage exchange between routers.

use serde::{Deserialize, Serialize};

use crate::{CustomerId, Incarnation, Millis, PoolId};

/// Service of one customer and the pace at which it grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Flow {
    /// The customer.
    pub customer: CustomerId,
    /// Cumulative tokens.
    pub tokens: u64,
    /// Tokens a second by which the receiver lets the count grow until it hears more.
    pub rate: u32,
}

/// Service of customers in one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolCounters {
    /// The pool.
    pub pool: PoolId,
    /// Its customers.
    pub flows: Vec<Flow>,
}

/// What the sender of a statement is to its receiver.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Relation {
    /// Both exchange with every other peer.
    #[default]
    Peer,
    /// The sender hands what it counts to the receiver, and is told the totals.
    Child,
    /// The sender tells the totals.
    Parent,
}

/// How far an origin's counters are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginSum {
    /// The origin's life.
    pub origin: Incarnation,
    /// Sum of its counters as held; the largest value when the origin itself was
    /// heard of late, so that nobody else needs to tell.
    pub sum: u64,
}

/// Counters of one origin, passed on by another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginCounters {
    /// The origin's life.
    pub origin: Incarnation,
    /// When that life began.
    pub started_at: Millis,
    /// Its counters, or some of them.
    pub pools: Vec<PoolCounters>,
}

/// One message of the usage exchange. Every part is idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// What the sender is to the receiver.
    pub relation: Relation,
    /// The receiver's life that it is meant for; another one ignores it.
    pub to: Incarnation,
    /// Sequence number on the way from this sender's to this receiver's life.
    pub sequence: u64,
    /// The last sequence number that the sender has taken in from the receiver.
    pub acknowledged: u64,
    /// How old what the sender counted was, in milliseconds: what its sidecars and
    /// children told it, or what a parent's totals rest on.
    pub age_ms: u32,
    /// A peer's or child's own counters, or a parent's totals.
    pub pools: Vec<PoolCounters>,
    /// How far the sender knows each origin; now and then.
    pub digest: Vec<OriginSum>,
    /// What the receiver lacks of other origins.
    pub relayed: Vec<OriginCounters>,
}
