//! Weighted fair queuing of customers at one sidecar.
//!
//! Each customer has an [`Account`]. Customers with waiting requests are served
//! in order of their virtual service `V`, the lowest first:
//!
//! `V = (offset + fleet_service + (awaiting_peers + jitter) * (pool_size - 1)
//!     + (unacknowledged + reserved) * pool_size - credit) / share`
//!
//! - `fleet_service`: fleet-wide service as counted by the routers.
//! - `unacknowledged`: charged by this sidecar since the last report that the
//!   collector acknowledged.
//! - `reserved`: expected cost of the requests that hold a reserved slot.
//! - `pool_size`: number of servers in the pool. Their sidecars are assumed to
//!   serve the customer at the same rate as this one.
//! - `awaiting_peers`: acknowledged service whose counterpart at the peers is not
//!   in `fleet_service` yet.
//! - `jitter`: constant derived from the sidecar and the customer, so that the
//!   sidecars do not all pick the same customer at once.
//! - `credit`: estimated charges above the actual cost, to be offset against
//!   later charges.
//! - `offset`: sum of the adjustments to the virtual service.

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

use order::SortKey;

/// Maximum lead of a customer with urgent requests over the least served one, in
/// tokens per unit of share. The service is charged like any other.
pub const URGENT_LEAD: i64 = 512;

/// Upper bound of the jitter, in tokens for each other server in the pool.
pub const MAX_JITTER: u32 = 512;

/// Maximum debt of a customer to the least served one, in tokens per unit of
/// share. Bounds the effect of fleet-wide counts that arrive late, for example
/// after a network partition.
pub const MAX_DEBT: i64 = 16_384;

/// Virtual service, in 1/256 tokens per unit of share.
pub type VirtualService = i64;

/// Fixed-point resolution of [`VirtualService`].
pub(crate) const UNITS_PER_TOKEN: i64 = 256;

/// Service and demand of one customer at one sidecar.
#[derive(Clone, Debug)]
pub struct Account {
    /// The customer that the account belongs to.
    pub customer: CustomerId,
    pub(crate) share: u32,
    /// Orders customers with equal virtual service.
    pub(crate) tie_breaker: u32,
    /// Tokens added to the virtual service for each other server in the pool.
    jitter: u32,
    /// Tokens charged by this sidecar, including estimates for running requests.
    /// Never decreases.
    pub(crate) charged: u64,
    /// `charged` as of the last report that the collector acknowledged.
    pub(crate) acknowledged: u64,
    /// `charged` as of the report in flight.
    pub(crate) reported: u64,
    /// Acknowledged tokens for which the peers' concurrent service has not been
    /// received yet.
    pub(crate) awaiting_peers: u64,
    /// Tokens charged above the actual cost, offset against later charges.
    pub(crate) credit: u64,
    /// Expected cost of the requests that hold a reserved slot, in tokens.
    pub(crate) reserved: u64,
    /// Last total received from the current collector, in tokens.
    pub(crate) collector_total: Option<u64>,
    /// Fleet-wide service since this sidecar started, in tokens.
    pub(crate) fleet_service: u64,
    /// Sum of the adjustments by [`Self::shift`], in [`UNITS_PER_TOKEN`], not
    /// divided by the share.
    pub(crate) offset: i64,
    /// Position in the service order, if the customer has runnable requests.
    pub(crate) sort_key: Option<SortKey>,
    pub(crate) running: u32,
    pub(crate) demands: SmallVec<[Demand; 2]>,
    pub(crate) cost_correction: CostCorrection,
}

impl Account {
    pub(crate) fn new(customer: CustomerId, share: u32, tie_breaker: u32) -> Self {
        Self {
            customer,
            share: share.max(1),
            tie_breaker,
            jitter: jitter(tie_breaker),
            charged: 0,
            acknowledged: 0,
            reported: 0,
            awaiting_peers: 0,
            credit: 0,
            reserved: 0,
            collector_total: None,
            fleet_service: 0,
            offset: 0,
            sort_key: None,
            running: 0,
            demands: SmallVec::new(),
            cost_correction: CostCorrection::default(),
        }
    }

    /// Tokens charged since the last report that the collector acknowledged.
    #[must_use]
    pub fn unacknowledged(&self) -> u64 {
        self.charged - self.acknowledged
    }

    /// Virtual service, assuming `pool_size` servers in the pool.
    #[must_use]
    pub fn virtual_service(&self, pool_size: u32) -> VirtualService {
        let local = self.unacknowledged() + self.reserved;
        let local = local.saturating_mul(u64::from(pool_size));
        let peers = self.awaiting_peers.saturating_mul(u64::from(pool_size) - 1);
        let tokens = self
            .fleet_service
            .saturating_add(local)
            .saturating_add(peers);
        let jitter = u64::from(self.jitter) * (u64::from(pool_size) - 1);
        let tokens = to_signed(tokens + jitter) - to_signed(self.credit);
        (self.offset + tokens.saturating_mul(UNITS_PER_TOKEN)).div_euclid(i64::from(self.share))
    }

    /// Adds `delta` to the virtual service.
    pub(crate) fn shift(&mut self, delta: VirtualService) {
        self.offset += delta * i64::from(self.share);
    }

    /// Applies the collector's fleet-wide total. While `settling`, the total only
    /// becomes the baseline for later ones.
    pub(crate) fn apply_collector_total(&mut self, tokens: u64, settling: bool) {
        let previous = self.collector_total.replace(tokens).unwrap_or(tokens);
        if !settling {
            self.fleet_service += tokens.saturating_sub(previous);
        }
    }

    /// Charges tokens, drawing on the credit first.
    pub(crate) fn charge(&mut self, tokens: u64) {
        let from_credit = self.credit.min(tokens);
        self.credit -= from_credit;
        self.charged += tokens - from_credit;
    }

    /// Credits tokens that were charged above the actual cost.
    pub(crate) fn refund(&mut self, tokens: u64) {
        self.credit += tokens;
    }

    /// Number of requests that wait at responsive links without a reserved slot.
    #[must_use]
    pub fn runnable(&self) -> u32 {
        self.demands.iter().map(Demand::runnable).sum()
    }

    /// Whether any runnable request is urgent.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        self.demands.iter().any(Demand::is_urgent)
    }

    /// Whether the account can be dropped without losing requests or charges.
    pub(crate) fn is_idle(&self) -> bool {
        self.running == 0 && self.demands.is_empty() && self.unacknowledged() == 0
    }
}

/// Maps a hash to a value from 0 to [`MAX_JITTER`].
fn jitter(hash: u32) -> u32 {
    hash / (u32::MAX / MAX_JITTER + 1)
}

/// Converts tokens to a signed number, saturating at about 2^54 so that scaling
/// cannot overflow.
fn to_signed(tokens: u64) -> i64 {
    i64::try_from(tokens)
        .unwrap_or(i64::MAX)
        .min(i64::MAX / UNITS_PER_TOKEN / 2)
}
