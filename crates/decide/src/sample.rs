//! Deterministic subsetting: which servers of a very large fleet a node uses.
//!
//! With hundreds of gateways and thousands of servers, connecting every gateway to every server
//! costs too many connections and too much CPU time. Each node uses a subset whose expected size
//! does not depend on the number of servers, and which changes little as servers come and go.

use mulberryyoke_model::ServerId;

use crate::rendezvous::weight;

/// Returns whether a node uses a server, out of `count` servers of which it uses about `size`.
/// `node` is the node's rank ([`crate::aggregate::name_hash`]).
#[must_use]
pub fn is_sampled(node: u64, server: ServerId, count: usize, size: usize) -> bool {
    let hash = u128::from(weight(node, u64::from(server.0)));
    (hash * count as u128) >> u64::BITS < size as u128
}
