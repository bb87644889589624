//! Exchange of usage between routers.
//!
//! Each router counts the tokens that its sidecars report, and every router computes
//! the totals of the fleet. Counters are cumulative per router instance, so that a
//! message may be lost, duplicated or reordered.
//!
//! In a full mesh every router is a [`Relation::Peer`] of every other and sends them
//! its own counters. In a tree a router sends its counters, including those of its
//! children, to one parent and receives the totals from it; only the roots are peers.
//! Every token is attributed to exactly one receiver: the peers as a group, or one
//! instance of a parent. When the parent changes, tokens that it has not acknowledged
//! are attributed to the new receiver.
//!
//! Totals never decrease within an instance, and only their growth is meaningful: a
//! new instance starts at zero and counts older instances from the first value
//! received. After a partition heals, the totals jump by what the other side served;
//! `account` limits the resulting debt of a customer.
//!
//! # Staleness
//!
//! With exchange interval `X`, one-way delay `d`, `h` hops (1 in a full mesh), `N`
//! counters that changed since they were last sent and at most `K` in a message, a
//! total is stale by at most
//!
//! `L = h * (X + d) * ceil(N / K)`
//!
//! and so too low by at most `rate * L`. With `N > K` a counter is sent when it
//! differs from its prediction (last value and rate) by more than `E` tokens, largest
//! difference first; the error per origin is then at most `E` plus the growth during
//! `L`. A prediction ends after the horizon `H`, so a total is too high by at most
//! `E + rate * min(H, X + d)` per hop. With `N <= K` nothing is predicted and totals
//! are never too high.
//!
//! [`Relation::Peer`]: mulberryyoke_model::Relation::Peer

mod account;
mod apply;
mod attribution;
mod collector;
mod counters;
mod cursor;
mod inbound;
mod instance;
mod ledger;
mod limits;
mod outbound;
mod parent_totals;
mod receive;
mod repair;
mod session;
mod tombstones;
mod totals;

pub use account::Account;
pub use cursor::Cursor;
pub use instance::Instance;
pub use ledger::Ledger;
pub use limits::Limits;
