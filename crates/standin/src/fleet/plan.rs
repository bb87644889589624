//! Deployment and customers of a run.

use mulberryyoke_model::CustomerId;
use rand::RngExt;
use rand::rngs::StdRng;

use super::flags::{Deployment, Flags};
use super::operation::MEAN_TOKENS;

/// Share of a large customer. A small one has share 1.
const LARGE_SHARE: u32 = 4;
/// Number of customers per large one.
const CUSTOMERS_PER_LARGE: usize = 5;
/// Number of small customers per one with light demand.
const SMALL_PER_LIGHT: usize = 4;
/// Light demand relative to the share of the slots.
pub(crate) const LIGHT_DEMAND: f64 = 0.3;
/// Minimum number of outstanding requests of a backlogged customer relative to its share of the
/// slots.
const MIN_BACKLOG: f64 = 2.0;
/// Probability that the first attempt goes to the customer's home router.
const HOME_PROBABILITY: f64 = 0.7;

/// Arrival process of a customer's model requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Demand {
    /// Closed loop with this number of outstanding requests.
    Backlog(usize),
    /// Open loop with this number of requests per second.
    Light(f64),
}

/// A customer of a run.
#[derive(Clone, Debug)]
pub(crate) struct Customer {
    pub(crate) name: String,
    pub(crate) key: String,
    pub(crate) share: u32,
    pub(crate) demand: Demand,
    /// Ratio of the mean cost hint to the actual cost.
    pub(crate) hint_factor: f64,
    home_router: usize,
}

/// Deployment and customers, derived from the flags.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) flags: Flags,
    pub(crate) zones: &'static [&'static str],
    pub(crate) model_pool: &'static str,
    pub(crate) service_pool: &'static str,
    /// Path of the plain service's calls, which are not idempotent.
    pub(crate) booking_path: &'static str,
    pub(crate) model_servers: usize,
    pub(crate) service_servers: usize,
    pub(crate) customers: Vec<Customer>,
}

impl Plan {
    pub(crate) fn new(flags: Flags) -> Self {
        let mut plan = match flags.deployment {
            Deployment::Trust => Self {
                zones: &["delta-a", "delta-b", "delta-c"],
                model_pool: "assistant",
                service_pool: "booking",
                booking_path: "/bookings",
                model_servers: 12,
                service_servers: 3,
                customers: Vec::new(),
                flags,
            },
            Deployment::Directorate => Self {
                zones: &["ankara-a", "ankara-b", "ankara-c", "ankara-d"],
                model_pool: "eslesme",
                service_pool: "portal",
                booking_path: "/offers",
                model_servers: 10,
                service_servers: 4,
                customers: Vec::new(),
                flags,
            },
        };
        if let Some(servers) = plan.flags.servers {
            plan.model_servers = servers;
        }
        plan.customers = customers(&plan.flags, plan.model_servers);
        plan
    }

    pub(crate) fn zone(&self, index: usize) -> &'static str {
        self.zones[index % self.zones.len()]
    }

    /// Picks a router for a customer's first attempt, preferring its home router.
    pub(crate) fn pick_router(&self, customer: usize, rng: &mut StdRng) -> usize {
        if rng.random_bool(HOME_PROBABILITY) {
            return self.customers[customer].home_router;
        }
        rng.random_range(0..self.flags.routers)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "counts of a run are small"
)]
fn customers(flags: &Flags, model_servers: usize) -> Vec<Customer> {
    let count = flags.customers;
    let large = (count / CUSTOMERS_PER_LARGE).max(1);
    let slots = (model_servers * flags.slots) as f64;
    let shares = (0..count).map(|index| share(index, large));
    let slots_per_share = slots / f64::from(shares.sum::<u32>());
    let harmonic: f64 = (1..=count).map(|rank| 1.0 / rank as f64).sum();
    let customer = |index: usize| {
        let share = share(index, large);
        let fair_slots = slots_per_share * f64::from(share);
        // Zipf distribution of the load over the customers.
        let outstanding = flags.load * slots / harmonic / (index + 1) as f64;
        let backlog = outstanding.max(MIN_BACKLOG * fair_slots + 2.0).ceil();
        let tokens_per_second = LIGHT_DEMAND * fair_slots * 1000.0 / flags.token_ms as f64;
        let is_light = index >= large && (index - large) % SMALL_PER_LIGHT == SMALL_PER_LIGHT - 1;
        let name = format!("c{index:04}");
        Customer {
            key: format!("key-of-customer-{name}"),
            // The last customer underestimates its cost by a factor of ten.
            hint_factor: if index + 1 == count { 0.1 } else { 1.0 },
            home_router: CustomerId::of(&name).0 as usize % flags.routers,
            demand: if is_light {
                Demand::Light(tokens_per_second / MEAN_TOKENS)
            } else {
                Demand::Backlog(backlog as usize)
            },
            name,
            share,
        }
    };
    (0..count).map(customer).collect()
}

fn share(index: usize, large: usize) -> u32 {
    if index < large { LARGE_SHARE } else { 1 }
}
