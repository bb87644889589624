//! Who may send what to a server that is cold: one that has just started, or that has become
//! slow again, bears few requests a second and ends under more.
//!
//! The load that it answers: a third of a pool's servers comes back at once, and each gateway of
//! thirty, a hundred or three hundred would send one its next prompt. The bound of a server is
//! shared out in whole requests to a few gateways, which all that know the same gateways agree
//! on; the others send it nothing. Divided evenly among all, thirty gateways that each send one
//! request at a time exceed a bound of 24 in a second; where they wait in turn, a second has up
//! to 21 of the 12 that are shared out, by luck alone. With a few that hold them it has 13 at
//! most, while others take the place of some that are cut off (replay of 30, 100 and 300).

mod members;
mod window;

use mulberryyoke_model::{ServerId, whole_u32};

pub use self::members::Members;
pub use self::window::Window;
use crate::rendezvous::weight;

/// Views of the fleet that may be in use at once: while gateways come and go some still go by
/// the one before.
const VIEWS: f64 = 2.0;

/// What a cold server bears, from all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests a second that it is made for while it is cold.
    pub per_s: f64,
    /// Times as many as that which it may get in some second.
    pub overage: f64,
    /// Requests beyond that which it may get in some second.
    pub slack: f64,
}

impl Limit {
    /// Whole requests a second that gateways which agree on who may send them give it: what it
    /// is made for, and no more than keeps the bound while two views of the fleet are in use.
    #[must_use]
    pub fn requests_per_s(self) -> u32 {
        let most = self.per_s * self.overage + self.slack;
        let most = self.per_s.min(most / VIEWS).max(0.0);
        whole_u32(most)
    }
}

/// Requests a second of `requests` that one gateway may send to a server, by its rank and those
/// of the others ([`crate::aggregate::name_hash`]).
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
