//! A fleet whose gateways all want to send to one server that turns cold.

use mulberryyoke_model::{Millis, ServerId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::way::{Gateway, Way};

/// When the server turns cold, and until when it is, in milliseconds.
const COLD: (Millis, Millis) = (20_000, 23_000);

/// Time between two requests that want to go to the server at one gateway, in milliseconds.
const WANT_MS: Millis = 50;

/// Longest time of a request on its way, and of a change of the registrations to a gateway, in
/// milliseconds.
const LATE_MS: (Millis, Millis) = (300, 1_500);

/// What happens to the fleet while the server is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trouble {
    None,
    /// A third of the gateways is gone, as their registrations tell.
    ZoneLost,
    /// All gateways start, and register one after the other.
    AllStart,
    /// All registrations lapse, as the service that has them was away.
    Lapsed,
    /// A tenth is cut off, and others take their place.
    CutOff,
}

/// What came of a play.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Played {
    /// Most requests that were sent and came within one second.
    pub(crate) busiest: usize,
    /// Requests that the server got.
    pub(crate) served: usize,
}

/// The gateways.
#[derive(Debug)]
pub(crate) struct Fleet {
    gateways: Vec<Gateway>,
    random: StdRng,
}

impl Fleet {
    pub(crate) fn new(size: usize, seed: u64) -> Self {
        let gateways = (0..size).map(|n| Gateway::new(format!("edge-{n}")));
        Self {
            gateways: gateways.collect(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Plays the seconds in which the server is cold.
    pub(crate) fn play(mut self, way: Way, trouble: Trouble) -> Played {
        let mut news = self.begin(trouble);
        let server = ServerId(4_711);
        let mut sent: Vec<(Millis, Millis)> = Vec::new();
        for now in COLD.0..COLD.1 {
            news.retain(|change| {
                let is_due = change.at <= now;
                if is_due {
                    change.apply(&mut self.gateways, now);
                }
                !is_due
            });
            for index in 0..self.gateways.len() {
                if !wants(index, now) {
                    continue;
                }
                let is_cut = trouble == Trouble::CutOff && index % 10 == 0;
                let gateway = &mut self.gateways[index];
                if !is_cut {
                    gateway.touched = now;
                }
                if gateway.sends(way, server, COLD.0, now) {
                    let late = self.random.random_range(1..LATE_MS.0);
                    sent.push((now, now + late));
                }
            }
        }
        Played {
            busiest: busiest(&sent),
            served: sent.len(),
        }
    }

    /// Lets the gateways know each other, and returns what they learn later.
    fn begin(&mut self, trouble: Trouble) -> Vec<Change> {
        let names: Vec<String> = self.gateways.iter().map(|g| g.name.clone()).collect();
        let size = names.len();
        let mut news = Vec::new();
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            gateway.touched = COLD.0;
            let is_new = trouble == Trouble::AllStart;
            gateway.members.start(if is_new { COLD.0 } else { 0 });
            for (other, name) in names.iter().enumerate() {
                if other == index {
                    continue;
                }
                let at = COLD.0 + self.random.random_range(0..LATE_MS.1);
                let joins = |at| Change {
                    at,
                    index,
                    name: name.clone(),
                    joins: true,
                };
                let leaves = |at| Change {
                    joins: false,
                    ..joins(at)
                };
                match trouble {
                    Trouble::AllStart => news.push(joins(at)),
                    // The last tenth takes the place of those that are cut off.
                    Trouble::CutOff if other >= size - size / 10 => news.push(joins(at)),
                    _ => gateway.members.join(name),
                }
                match trouble {
                    Trouble::ZoneLost if other % 3 == 0 => news.push(leaves(at)),
                    Trouble::Lapsed => news.push(leaves(at)),
                    Trouble::CutOff if other % 10 == 0 => news.push(leaves(at)),
                    _ => {}
                }
            }
        }
        news
    }
}

/// Whether a request at a gateway would go to the server now.
const fn wants(index: usize, now: Millis) -> bool {
    (now + index as u64).is_multiple_of(WANT_MS)
}

/// What a gateway learns of another.
#[derive(Clone, Debug)]
struct Change {
    at: Millis,
    index: usize,
    name: String,
    joins: bool,
}

impl Change {
    fn apply(&self, gateways: &mut [Gateway], now: Millis) {
        let members = &mut gateways[self.index].members;
        if self.joins {
            members.join(&self.name);
        } else {
            members.leave(&self.name, now);
        }
    }
}

/// Most requests that were sent and came within one second.
fn busiest(sent: &[(Millis, Millis)]) -> usize {
    let within = |from: Millis| {
        let inside = sent
            .iter()
            .filter(|(sent, came)| *sent >= from && *came < from + 1_000);
        inside.count()
    };
    sent.iter()
        .map(|(from, _)| within(*from))
        .max()
        .unwrap_or(0)
}
