//! Who and what takes part in a run.

use mulberryyoke_model::CustomerId;
use rand::RngExt;
use rand::rngs::StdRng;

use super::flags::{Deployment, Flags};

/// Share of a large customer; a small one has 1.
const LARGE_SHARE: u32 = 4;
/// One customer in so many is large.
const LARGE_OF: usize = 5;
/// One small customer in so many has a light demand.
const LIGHT_OF: usize = 4;
/// Demand of a light customer over its portion of the slots.
pub(crate) const LIGHT_DEMAND: f64 = 0.3;
/// Least outstanding requests of a backlogged customer over its portion of the slots.
const LEAST_BACKLOG: f64 = 2.0;
/// Probability that a call goes to its customer's home router.
const HOME: f64 = 0.7;

/// How a customer asks for model answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Demand {
    /// A constant number of outstanding requests.
    Backlog(usize),
    /// Requests a second, at random instants.
    Light(f64),
}

/// A customer of a run.
#[derive(Clone, Debug)]
pub(crate) struct Customer {
    pub(crate) name: String,
    pub(crate) key: String,
    pub(crate) share: u32,
    pub(crate) demand: Demand,
    /// Factor by which its hints miss the true cost.
    pub(crate) hint: f64,
    home: usize,
}

/// Everything that a run's seed and flags decide.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) flags: Flags,
    pub(crate) zones: &'static [&'static str],
    pub(crate) model: &'static str,
    pub(crate) service: &'static str,
    /// Path of the service's calls that may not be repeated.
    pub(crate) path: &'static str,
    pub(crate) models: usize,
    pub(crate) services: usize,
    pub(crate) customers: Vec<Customer>,
}

impl Plan {
    pub(crate) fn new(flags: Flags) -> Self {
        let (zones, model, service, path, models, services): (&[&str], _, _, _, _, _) =
            match flags.deployment {
                Deployment::Trust => (
                    &["delta-a", "delta-b", "delta-c"],
                    "assistant",
                    "booking",
                    "/bookings",
                    12,
                    3,
                ),
                Deployment::Directorate => (
                    &["ankara-a", "ankara-b", "ankara-c", "ankara-d"],
                    "eslesme",
                    "portal",
                    "/offers",
                    10,
                    4,
                ),
            };
        let models = flags.servers.unwrap_or(models);
        Self {
            customers: customers(&flags, models),
            zones,
            model,
            service,
            path,
            models,
            services,
            flags,
        }
    }

    pub(crate) fn zone(&self, index: usize) -> &'static str {
        self.zones[index % self.zones.len()]
    }

    /// A router for a call of a customer: its home more often than another.
    pub(crate) fn router(&self, customer: usize, rng: &mut StdRng) -> usize {
        if rng.random_bool(HOME) {
            return self.customers[customer].home;
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
fn customers(flags: &Flags, models: usize) -> Vec<Customer> {
    let count = flags.customers;
    let large = (count / LARGE_OF).max(1);
    let slots = (models * flags.slots) as f64;
    let shares = (0..count).map(|index| share(index, large));
    let portion = slots / f64::from(shares.sum::<u32>());
    let zipf: f64 = (1..=count).map(|rank| 1.0 / rank as f64).sum();
    let customer = |index: usize| {
        let share = share(index, large);
        let portion = portion * f64::from(share);
        let wanted = flags.load * slots / zipf / (index + 1) as f64;
        let backlog = wanted.max(LEAST_BACKLOG * portion + 2.0).ceil();
        let rate = LIGHT_DEMAND * portion * 1000.0 / flags.token_ms as f64 / super::op::MEAN_TOKENS;
        let light = index >= large && (index - large) % LIGHT_OF == LIGHT_OF - 1;
        let name = format!("c{index:04}");
        Customer {
            key: format!("key-of-customer-{name}"),
            // The last backlogged customer always hints a tenth of its true cost.
            hint: if index + 1 == count { 0.1 } else { 1.0 },
            home: CustomerId::of(&name).0 as usize % flags.routers,
            demand: if light {
                Demand::Light(rate)
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
