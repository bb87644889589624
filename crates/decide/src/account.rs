//! Weighted service of customers at one sidecar.
//!
//! Each customer has an [`Account`]; its virtual service `V` orders customers
//! that have waiting requests, the least first:
//!
//! `V = (offset + fleet + (recent + scatter) * (reach - 1)
//!     + (uncounted + reserved) * reach - credit) / share`
//!
//! `fleet` is service counted fleet-wide by the routers, `uncounted` what this
//! sidecar charged since the report that they counted last, `reserved` what
//! requests with a reserved slot are expected to cost, `reach` the number
//! of servers that serve the pool (their sidecars are assumed to act alike),
//! `recent` what was counted before the peers' service of the same time,
//! `scatter` a constant drawn by sidecar and customer, so that not all sidecars
//! turn to the same customer at once,
//! `credit` what was charged by estimate and turned out too much, and `offset`
//! carries lifts and forgiven debts.

mod charge;
mod cost_correction;
mod demand;
mod fleet;
mod ledger;
mod order;
mod report;

use mulberryyoke_model::CustomerId;
use smallvec::SmallVec;

pub use charge::{CHARGE_LEAD, Charge};
pub use cost_correction::CostCorrection;
pub use demand::Demand;
pub use ledger::{AccountKey, Ledger};
pub use report::Reporter;

use order::Rank;

/// How far urgent work runs ahead of its customer's fair position, in tokens
/// for each unit of share. Repaid, since all service counts.
pub const URGENT_LEAD: i64 = 512;

/// Largest holding back of a customer by one sidecar, in tokens for each other
/// server of the pool.
pub const MAX_JITTER: u32 = 512;

/// Most that a fleet-wide count learnt late (after a partition) sets a customer
/// behind the least served one, in tokens for each unit of share.
pub const MAX_DEBT: i64 = 16_384;

/// Virtual service, in 1/256 tokens for each unit of share.
pub type VirtualService = i64;

/// Parts of a token that [`VirtualService`] resolves.
pub(crate) const SCALE: i64 = 256;

/// Service and demand of one customer at one sidecar.
#[derive(Clone, Debug)]
pub struct Account {
    /// The customer.
    pub customer: CustomerId,
    pub(crate) share: u32,
    /// Orders it among customers served alike.
    pub(crate) tie: u32,
    /// Tokens that this sidecar holds the customer back for each other server.
    scatter: u32,
    /// Tokens charged here, estimates of running requests included; never falls.
    pub(crate) charged: u64,
    /// `charged` as of the last report that the fleet has counted.
    pub(crate) counted: u64,
    /// `charged` as of the report on its way.
    pub(crate) reported: u64,
    /// Tokens counted of late, before peers' service of the same time.
    pub(crate) recent: u64,
    /// Tokens charged by estimates above the true cost, used up by later charges.
    pub(crate) credit: u64,
    /// Tokens expected of requests that have a slot reserved.
    pub(crate) reserved: u64,
    /// Fleet-wide service told by the present collector, in tokens.
    pub(crate) told: Option<u64>,
    /// Fleet-wide service since this sidecar's life began, in tokens.
    pub(crate) fleet: u64,
    /// Lifts less forgiven debts, in [`SCALE`] parts of a token, not divided by share.
    pub(crate) offset: i64,
    /// Place in the order of those that have runnable requests.
    pub(crate) rank: Option<Rank>,
    pub(crate) running: u32,
    pub(crate) demands: SmallVec<[Demand; 2]>,
    pub(crate) cost_correction: CostCorrection,
}

impl Account {
    pub(crate) fn open(customer: CustomerId, share: u32, tie: u32) -> Self {
        Self {
            customer,
            share: share.max(1),
            tie,
            scatter: scatter(tie),
            charged: 0,
            counted: 0,
            reported: 0,
            recent: 0,
            credit: 0,
            reserved: 0,
            told: None,
            fleet: 0,
            offset: 0,
            rank: None,
            running: 0,
            demands: SmallVec::new(),
            cost_correction: CostCorrection::default(),
        }
    }

    /// Tokens charged here since the last report that the fleet has counted.
    #[must_use]
    pub fn uncounted(&self) -> u64 {
        self.charged - self.counted
    }

    /// Virtual service with `reach` servers in the pool.
    #[must_use]
    pub fn virtual_service(&self, reach: u32) -> VirtualService {
        let uncounted = self.uncounted() + self.reserved;
        let uncounted = uncounted.saturating_mul(u64::from(reach));
        let peers = self.recent.saturating_mul(u64::from(reach) - 1);
        let tokens = self.fleet.saturating_add(uncounted).saturating_add(peers);
        let scatter = u64::from(self.scatter) * (u64::from(reach) - 1);
        let tokens = to_signed(tokens + scatter) - to_signed(self.credit);
        (self.offset + tokens.saturating_mul(SCALE)).div_euclid(i64::from(self.share))
    }

    /// Moves the virtual service by `by`, up or down.
    pub(crate) fn shift(&mut self, by: VirtualService) {
        self.offset += by * i64::from(self.share);
    }

    /// Takes over the collector's fleet-wide count.
    pub(crate) fn tell(&mut self, tokens: u64, settling: bool) {
        let before = self.told.replace(tokens).unwrap_or(tokens);
        if !settling {
            self.fleet += tokens.saturating_sub(before);
        }
    }

    /// Adds tokens, using up credit first.
    pub(crate) fn charge(&mut self, tokens: u64) {
        let from_credit = self.credit.min(tokens);
        self.credit -= from_credit;
        self.charged += tokens - from_credit;
    }

    /// Gives back tokens that an estimate charged too much.
    pub(crate) fn refund(&mut self, tokens: u64) {
        self.credit += tokens;
    }

    /// Requests that wait at live links and have no slot reserved.
    #[must_use]
    pub fn runnable(&self) -> u32 {
        self.demands.iter().map(Demand::runnable).sum()
    }

    /// Whether one of the runnable requests is urgent.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        self.demands.iter().any(Demand::is_urgent)
    }

    /// Whether nothing is lost by forgetting the account.
    pub(crate) fn is_idle(&self) -> bool {
        self.running == 0 && self.demands.is_empty() && self.uncounted() == 0
    }
}

/// A part of [`MAX_JITTER`] between none and all of it, by the upper bits of a hash.
fn scatter(hash: u32) -> u32 {
    hash / (u32::MAX / MAX_JITTER + 1)
}

/// Tokens as a signed number; counts beyond 2^54 tokens saturate.
fn to_signed(tokens: u64) -> i64 {
    i64::try_from(tokens)
        .unwrap_or(i64::MAX)
        .min(i64::MAX / SCALE / 2)
}
