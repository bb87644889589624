//! Selection of a server of a plain service by the expected time of a request and by zone.

mod service;

pub use self::service::Service;

use mulberryyoke_model::ServerId;

/// Cost of crossing availability zones, in milliseconds.
const CROSS_ZONE_MS: f64 = 3.0;

/// Cost of a server of which all slots are busy over that of an idle one, in service times. Other
/// gateways may send requests to the same slots.
const BUSY_COST: f64 = 0.5;

/// A server eligible for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The server.
    pub server: ServerId,
    /// Requests at it, from all gateways.
    pub requests: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// How long work currently takes on its machine, as a factor of the normal time.
    pub slowdown: f64,
    /// Whether it is in the gateway's availability zone.
    pub is_same_zone: bool,
    /// Cost added for recent failures, in milliseconds.
    pub penalty_ms: f64,
}

impl Candidate {
    /// Expected time of a request, in service times at normal speed: its own, that of the requests
    /// before it which no slot is left for, and a cost of busy slots.
    fn service_times(&self) -> f64 {
        let slots = self.slots.max(1);
        let excess = (self.requests.saturating_add(1)).saturating_sub(slots);
        let busy = self.requests.min(slots);
        let [excess, busy] = [excess, busy].map(|count| f64::from(count) / f64::from(slots));
        (1.0 + excess + BUSY_COST * busy) * self.slowdown
    }

    fn cost_ms(&self, service: Service) -> f64 {
        let zone_ms = if self.is_same_zone {
            0.0
        } else {
            CROSS_ZONE_MS
        };
        self.service_times() * service.mean_ms() + zone_ms + self.penalty_ms
    }
}

/// Chooses the server with the lowest cost, the first one on a tie. `None` without candidates.
pub fn choose(candidates: impl Iterator<Item = Candidate>, service: Service) -> Option<ServerId> {
    let best = candidates.min_by(|a, b| a.cost_ms(service).total_cmp(&b.cost_ms(service)));
    best.map(|candidate| candidate.server)
}
