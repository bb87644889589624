//! What gateways have at the servers, and what customers asked of them.

use std::collections::HashMap;

use mulberryyoke_model::{CustomerId, ServerId};

use crate::engine::Load;
use crate::share::Flow;

/// What one or more gateways have at the servers, and what customers lately asked of them
/// and were given. Servers and customers that are not named have nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    /// Load by server.
    pub loads: HashMap<ServerId, Load>,
    /// Tokens by customer.
    pub flows: HashMap<CustomerId, Flow>,
}

impl State {
    /// Adds what others have.
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

    /// Takes away what others have; nothing falls below zero.
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

    /// What `nodes` others are taken to have that tell nothing: each as much in all as this
    /// state's one gateway, spread evenly over the servers of each pool.
    #[must_use]
    pub fn extrapolate(&self, nodes: u32, pools: &[Vec<ServerId>]) -> Self {
        let loads = pools.iter().flat_map(|servers| {
            let load = self.part(nodes, servers);
            servers.iter().map(move |&server| (server, load))
        });
        let times = f64::from(nodes);
        let flows = self.flows.iter().map(|(&customer, flow)| {
            let flow = Flow {
                requested: flow.requested * times,
                granted: flow.granted * times,
            };
            (customer, flow)
        });
        Self {
            loads: loads.collect(),
            flows: flows.collect(),
        }
    }

    /// What each of a pool's servers has of `nodes` times this state.
    fn part(&self, nodes: u32, servers: &[ServerId]) -> Load {
        let mut all = Load::default();
        for load in servers.iter().filter_map(|server| self.loads.get(server)) {
            all.add(*load);
        }
        let count = u32::try_from(servers.len()).unwrap_or(u32::MAX).max(1);
        let part = |sum: u32| sum.saturating_mul(nodes) / count;
        Load {
            prefill_tokens: part(all.prefill_tokens),
            queued: part(all.queued),
            running: part(all.running),
        }
    }
}
