//! Rate limiting of requests to cold servers: a server that has just started, or that has become
//! slow again, can handle only a few requests a second.
//!
//! This guards against all gateways sending their next prompt to a server at the moment it comes
//! back. The rate limit of a server is split into whole requests among a few gateways, its quota
//! holders; the others send it nothing. All gateways with the same view of the fleet agree on the
//! holders. An even split among all gateways would not keep the limit: each would send at least
//! one request at a time, and pacing them leaves it to chance how many coincide.

mod members;
mod window;

use mulberryyoke_model::{ServerId, saturating_u32};

pub use self::members::Members;
pub use self::window::Window;
use crate::rendezvous::weight;

/// Views of the fleet that may be in use at the same time: while the membership changes, some
/// gateways still use the previous one.
const VIEWS: f64 = 2.0;

/// Rate limit of a cold server, for all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Sustained rate, in requests a second.
    pub per_s: f64,
    /// Factor by which a single second may exceed the sustained rate.
    pub overage: f64,
    /// Number of requests by which a single second may exceed it further.
    pub slack: f64,
}

impl Limit {
    /// Returns the whole requests a second to distribute: at most the sustained rate, and few
    /// enough that the limit holds while two views of the fleet are in use.
    #[must_use]
    pub fn requests_per_s(self) -> u32 {
        let peak = self.per_s * self.overage + self.slack;
        let rate = self.per_s.min(peak / VIEWS).max(0.0);
        saturating_u32(rate)
    }
}

/// Returns this gateway's quota of a server's `requests` a second. `own` and `others` are the
/// ranks of this and the other gateways ([`crate::aggregate::name_hash`]).
pub fn share(server: ServerId, requests: u32, own: u64, others: impl Iterator<Item = u64>) -> u32 {
    let weigh = |rank: u64| (weight(rank, u64::from(server.0)), rank);
    let own = weigh(own);
    let (mut gateways, mut ahead) = (1_u32, 0_u32);
    for other in others {
        gateways += 1;
        ahead += u32::from(weigh(other) > own);
    }
    let holders = requests.min(gateways);
    if ahead >= holders {
        return 0;
    }
    requests / holders
}
