//! Weighted service of customers at one sidecar.
//!
//! Each customer has an [`Account`]; its virtual service `V` orders customers
//! that have waiting requests, the least first:
//!
//! `V = (offset + fleet + (uncounted + reserved) * reach - credit) / share`
//!
//! `fleet` is service counted fleet-wide by the routers, `uncounted` what this
//! sidecar charged since the report that they counted last, `reserved` what
//! requests with a reserved slot are expected to cost, `reach` the number
//! of servers that serve the pool (their sidecars are assumed to act alike),
//! `credit` what was charged by estimate and turned out too much, and `offset`
//! carries lifts and forgiven debts.

#[expect(clippy::module_inception, reason = "one type each file")]
mod account;
mod charge;
mod demand;
mod hint;
mod ledger;
mod order;
mod report;

pub(crate) use account::SCALE;
pub use account::{Account, Virtual};
pub use charge::Charge;
pub use demand::Demand;
pub use hint::Hint;
pub use ledger::{AccountKey, Ledger};
pub use report::Reporter;

/// How far urgent work runs ahead of its customer's fair position, in tokens
/// for each unit of share. Repaid, since all service counts.
pub const URGENT_LEAD: i64 = 1_024;

/// Most that a fleet-wide count learnt late (after a partition) sets a customer
/// behind the least served one, in tokens for each unit of share.
pub const MAX_DEBT: i64 = 16_384;
