//! Choice of a server of a plain service: the one with the fewest requests, rather near.

use mulberryyoke_model::ServerId;

/// Cost of a request that runs on a plain server, in milliseconds.
const REQUEST_MS: f64 = 10.0;

/// Cost of leaving the availability zone, in milliseconds.
const FAR_MS: f64 = 3.0;

/// A server that could take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The server.
    pub server: ServerId,
    /// Requests that it runs, from any router.
    pub requests: u32,
    /// Whether it is in the router's availability zone.
    pub is_same_zone: bool,
    /// Time that is added to its cost for failures seen, in milliseconds.
    pub penalty_ms: f64,
}

impl Candidate {
    fn cost_ms(&self) -> f64 {
        let far_ms = if self.is_same_zone { 0.0 } else { FAR_MS };
        f64::from(self.requests) * REQUEST_MS + far_ms + self.penalty_ms
    }
}

/// Chooses the server of least cost, the first of equal ones. `None` without candidates.
pub fn choose(candidates: impl Iterator<Item = Candidate>) -> Option<ServerId> {
    let best = candidates.min_by(|a, b| a.cost_ms().total_cmp(&b.cost_ms()));
    best.map(|candidate| candidate.server)
}
