//! Load of gateways on servers, and demand of customers.

use std::collections::HashMap;

use mulberryyoke_model::{CustomerId, ServerId};

use crate::engine::Load;
use crate::share::Flow;

/// Load of one or more gateways on servers, and recent demand and usage of their customers.
/// Missing servers and customers count as zero.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    /// Load by server.
    pub loads: HashMap<ServerId, Load>,
    /// Requested and granted tokens by customer.
    pub flows: HashMap<CustomerId, Flow>,
}

impl State {
    /// Adds the state of other gateways.
    pub fn add(&mut self, other: &Self) {
        for (&server, &load) in &other.loads {
            self.loads.entry(server).or_default().add(load);
        }
        for (&customer, flow) in &other.flows {
            let sum = self.flows.entry(customer).or_default();
            sum.requested += flow.requested;
            sum.granted += flow.granted;
        }
    }

    /// Subtracts the state of other gateways, saturating at zero.
    pub fn subtract(&mut self, other: &Self) {
        for (server, &load) in &other.loads {
            if let Some(sum) = self.loads.get_mut(server) {
                sum.subtract(load);
            }
        }
        for (customer, flow) in &other.flows {
            if let Some(sum) = self.flows.get_mut(customer) {
                sum.requested = (sum.requested - flow.requested).max(0.0);
                sum.granted = (sum.granted - flow.granted).max(0.0);
            }
        }
    }

    /// Estimates the state of `gateways` others that do not report: each has as much in total as
    /// this one, spread evenly over the servers of each pool.
    #[must_use]
    pub fn extrapolate(&self, gateways: u32, pools: &[Vec<ServerId>]) -> Self {
        let loads = pools.iter().flat_map(|servers| {
            let load = self.even_share(gateways, servers);
            servers.iter().map(move |&server| (server, load))
        });
        let factor = f64::from(gateways);
        let flows = self.flows.iter().map(|(&customer, flow)| {
            let flow = Flow {
                requested: flow.requested * factor,
                granted: flow.granted * factor,
            };
            (customer, flow)
        });
        Self {
            loads: loads.collect(),
            flows: flows.collect(),
        }
    }

    /// Load per server if `gateways` times the load of a pool is spread evenly.
    fn even_share(&self, gateways: u32, servers: &[ServerId]) -> Load {
        let mut total = Load::default();
        for load in servers.iter().filter_map(|server| self.loads.get(server)) {
            total.add(*load);
        }
        let count = u32::try_from(servers.len()).unwrap_or(u32::MAX).max(1);
        let share = |sum: u32| sum.saturating_mul(gateways) / count;
        Load {
            prefill_tokens: share(total.prefill_tokens),
            queued: share(total.queued),
            running: share(total.running),
        }
    }
}
