//! Exchange of usage between routers.
//!
//! Each router counts the service that its sidecars report, and every router
//! learns the fleet's totals. Counters are cumulative for each life of their
//! origin, so that a message that is lost, repeated or late does no harm.
//!
//! *Flat*: every router is a [`Relation::Peer`] of every other and sends its own
//! counters to each. *Tree*: a router hands its counters, those of its children
//! included, to one parent and is told the totals; only the roots are peers.
//! Every token is attributed to exactly one receiver: the peers together, or one
//! life of a parent. What a lost parent had not acknowledged is attributed anew.
//!
//! Totals are running sums of growth. They never go back within a life, and only
//! their growth has a meaning: a router that starts with nothing remembered counts
//! from there, a life older than its own from the value first heard. After a
//! partition the counters of the other side are heard at once and the totals jump
//! by what was served there; whoever orders by them bounds the debt that this
//! makes (`account`).
//!
//! # Staleness
//!
//! With exchange interval `X`, one-way delay `d`, `h` hops (1 when flat), `N`
//! counters that changed since they were last told and at most `K` in a message, a
//! total is older than the truth by at most
//!
//! `L = h * (X + d) * ceil(N / K)`
//!
//! and so short of it by at most `rate * L`. With `N > K` a counter is told when it
//! has left its prediction (last value and rate) by more than `E` tokens, those
//! furthest off first; the error for each origin is then at most `E` and what grows
//! in `L`. A prediction ends after the horizon `H`, so a total exceeds the truth by
//! at most `E + rate * min(H, X + d)` for each hop. With `N <= K` nothing is
//! predicted and totals never exceed the truth.
//!
//! [`Relation::Peer`]: mulberryyoke_model::Relation::Peer

mod account;
mod attribution;
mod collector;
mod counters;
mod cursor;
mod edge;
mod graveyard;
mod hear;
mod inbound;
mod instance;
mod ledger;
mod limits;
mod outbound;
mod repair;
mod settle;
mod told;
mod totals;

pub use account::Account;
pub use cursor::Cursor;
pub use instance::Instance;
pub use ledger::Ledger;
pub use limits::Limits;
