//! Simulated fleet whose gateways all send to one server that becomes cold.

use mulberryyoke_model::{Millis, ServerId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::gateway::{Gateway, Strategy};

/// Period during which the server is cold, in milliseconds.
const COLD_MS: (Millis, Millis) = (20_000, 23_000);

/// Time between requests for the server at one gateway, in milliseconds.
const REQUEST_INTERVAL_MS: Millis = 50;

/// Maximum delay of a request and of a membership update, in milliseconds.
const MAX_DELAY_MS: (Millis, Millis) = (300, 1_500);

/// Fault of the fleet while the server is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// A third of the gateways disappears, along with their registrations.
    ZoneOutage,
    /// All gateways start and register one after the other.
    FleetRestart,
    /// All registrations expire because the key-value service was unavailable.
    LeasesExpired,
    /// A tenth of the gateways is partitioned off, and others replace them.
    Partition,
}

/// Result of a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    /// Maximum number of requests sent and received within one second.
    pub(crate) busiest: usize,
    /// Requests sent to the server.
    pub(crate) served: usize,
}

#[derive(Debug)]
pub(crate) struct Fleet {
    gateways: Vec<Gateway>,
    rng: StdRng,
}

impl Fleet {
    pub(crate) fn new(size: usize, seed: u64) -> Self {
        let gateways = (0..size).map(|n| Gateway::new(format!("edge-{n}")));
        Self {
            gateways: gateways.collect(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Simulates the period during which the server is cold.
    pub(crate) fn run(mut self, strategy: Strategy, fault: Fault) -> Outcome {
        let mut changes = self.join_all(fault);
        let server = ServerId(4_711);
        let mut sent: Vec<(Millis, Millis)> = Vec::new();
        for now in COLD_MS.0..COLD_MS.1 {
            changes.retain(|change| {
                let is_due = change.at <= now;
                if is_due {
                    change.apply(&mut self.gateways, now);
                }
                !is_due
            });
            for index in 0..self.gateways.len() {
                if !has_request(index, now) {
                    continue;
                }
                let is_partitioned = fault == Fault::Partition && index % 10 == 0;
                let gateway = &mut self.gateways[index];
                if !is_partitioned {
                    gateway.synced_at = now;
                }
                if gateway.sends(strategy, server, COLD_MS.0, now) {
                    let delay = self.rng.random_range(1..MAX_DELAY_MS.0);
                    sent.push((now, now + delay));
                }
            }
        }
        Outcome {
            busiest: busiest(&sent),
            served: sent.len(),
        }
    }

    /// Initialises the membership of all gateways and returns the changes that reach them later.
    fn join_all(&mut self, fault: Fault) -> Vec<Change> {
        let names: Vec<String> = self.gateways.iter().map(|g| g.name.clone()).collect();
        let size = names.len();
        let mut changes = Vec::new();
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            gateway.synced_at = COLD_MS.0;
            let is_new = fault == Fault::FleetRestart;
            gateway.members.start(if is_new { COLD_MS.0 } else { 0 });
            for (other, name) in names.iter().enumerate() {
                if other == index {
                    continue;
                }
                let at = COLD_MS.0 + self.rng.random_range(0..MAX_DELAY_MS.1);
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
                match fault {
                    Fault::FleetRestart => changes.push(joins(at)),
                    // The last tenth replaces the partitioned gateways.
                    Fault::Partition if other >= size - size / 10 => changes.push(joins(at)),
                    _ => gateway.members.join(name),
                }
                match fault {
                    Fault::ZoneOutage if other % 3 == 0 => changes.push(leaves(at)),
                    Fault::LeasesExpired => changes.push(leaves(at)),
                    Fault::Partition if other % 10 == 0 => changes.push(leaves(at)),
                    _ => {}
                }
            }
        }
        changes
    }
}

/// Whether a gateway has a request for the server now.
const fn has_request(index: usize, now: Millis) -> bool {
    (now + index as u64).is_multiple_of(REQUEST_INTERVAL_MS)
}

/// Membership change that a gateway learns of.
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

/// Maximum number of requests sent and received within one second.
fn busiest(sent: &[(Millis, Millis)]) -> usize {
    let count = |from: Millis| {
        let inside = sent
            .iter()
            .filter(|(sent, received)| *sent >= from && *received < from + 1_000);
        inside.count()
    };
    sent.iter().map(|(from, _)| count(*from)).max().unwrap_or(0)
}
