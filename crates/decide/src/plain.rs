//! Selection of a server of a plain service by outstanding requests and zone.

use mulberryyoke_model::ServerId;

/// Cost of a running request, in milliseconds.
const REQUEST_MS: f64 = 10.0;

/// Cost of crossing availability zones, in milliseconds.
const CROSS_ZONE_MS: f64 = 3.0;

/// A server eligible for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The server.
    pub server: ServerId,
    /// Requests running on it, from all gateways.
    pub requests: u32,
    /// Whether it is in the gateway's availability zone.
    pub is_same_zone: bool,
    /// Cost added for recent failures, in milliseconds.
    pub penalty_ms: f64,
}

impl Candidate {
    fn cost_ms(&self) -> f64 {
        let zone_ms = if self.is_same_zone {
            0.0
        } else {
            CROSS_ZONE_MS
        };
        f64::from(self.requests) * REQUEST_MS + zone_ms + self.penalty_ms
    }
}

/// Chooses the server with the lowest cost, the first one on a tie. `None` without candidates.
pub fn choose(candidates: impl Iterator<Item = Candidate>) -> Option<ServerId> {
    let best = candidates.min_by(|a, b| a.cost_ms().total_cmp(&b.cost_ms()));
    best.map(|candidate| candidate.server)
}
