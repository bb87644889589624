//! Which of very many servers a node uses.
//!
//! The load that it answers: hundreds of gateways before thousands of servers, each of which
//! would look at each server for each prompt, ask each what it keeps and hold a connection to
//! each: at 300 gateways before 3,001 servers 903,000 questions when all start, 2,900 connections
//! and most of a node's processor. Each node uses a part of them, of about the same size however
//! many there are; which one changes little as servers come and go.

use mulberryyoke_model::ServerId;

use crate::rendezvous::weight;

/// Whether a node uses a server, of `count` servers of which it uses about `most`. `node` is its
/// rank ([`crate::aggregate::name_hash`]).
#[must_use]
pub fn is_sampled(node: u64, server: ServerId, count: usize, most: usize) -> bool {
    let drawn = u128::from(weight(node, u64::from(server.0)));
    (drawn * count as u128) >> u64::BITS < most as u128
}
