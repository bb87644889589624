//! What all gateways of a fleet have at the servers, added up by a few of them.
//!
//! Every gateway tells what it has to the collectors of its availability zone; these tell
//! their zone's sum to the collectors of the other zones, and the fleet's sum to their own
//! zone's gateways. Each message holds the whole state of what it speaks of and takes the
//! place of the one before it, so that loss, repeats and restarts count nothing twice.
//!
//! The load that it answers: a hundred gateways before hundreds of servers, each of which
//! would tell a hundred others. Where everyone told everyone with eight milliseconds of
//! pause for each peer, 103 gateways heard each other every 816 ms, and took each other to
//! be gone after 600 ms.

mod collector;
mod heard;
mod pace;
mod state;
mod sum;

use std::collections::{HashMap, VecDeque};

use mulberryyoke_model::{Incarnation, Millis};

pub use self::collector::{COLLECTORS_PER_ZONE, Placement, name_hash, rank_by_cpu};
use self::heard::Heard;
pub use self::pace::interval_ms;
pub use self::state::State;
pub use self::sum::{MessageId, Sum};

/// Age from which what another told no longer counts, in milliseconds: four of the longest
/// intervals between messages, so that three may be lost.
pub const EXPIRY_MS: u64 = 4 * pace::LONGEST_MS;

/// Age up to which the sum that holds most gateways is preferred to a later one, in
/// milliseconds: one interval, and half of one for what is late.
const FRESH_MS: u64 = pace::LONGEST_MS * 3 / 2;

/// Own states that are remembered: a sum is taken to hold one of them.
const REMEMBERED: usize = 64;

/// What a gateway hears of the others.
#[derive(Clone, Debug, Default)]
pub struct Aggregate {
    origin: Incarnation,
    zone: u64,
    /// Own states as they were told, oldest first.
    told: VecDeque<(u32, State)>,
    /// Gateways of the zone, by a hash of their names.
    nodes: HashMap<u64, (Incarnation, Heard<State>)>,
    /// Sums of zones, by the collector that tells them.
    zones: HashMap<Incarnation, (u64, Heard<Sum>)>,
    /// Sums of the fleet, by the collector that tells them.
    fleets: HashMap<Incarnation, Heard<Sum>>,
}

impl Aggregate {
    /// That of a gateway which has heard nothing.
    #[must_use]
    pub fn new(origin: Incarnation, zone: &str) -> Self {
        Self {
            origin,
            zone: name_hash(zone),
            ..Self::default()
        }
    }

    /// Remembers what this gateway tells under a number.
    pub fn record_own(&mut self, number: u32, state: State) {
        self.told.push_back((number, state));
        if self.told.len() > REMEMBERED {
            self.told.pop_front();
        }
    }

    /// Takes in what a gateway of the zone has; `false` if a later message came before it.
    /// Another life of it takes the place of the one before.
    pub fn receive_gateway(
        &mut self,
        node: u64,
        from: MessageId,
        state: State,
        now: Millis,
    ) -> bool {
        if let Some((origin, heard)) = self.nodes.get_mut(&node)
            && *origin == from.origin
        {
            return heard.replace(from.sequence, state, now);
        }
        let heard = Heard::new(from.sequence, state, now);
        self.nodes.insert(node, (from.origin, heard));
        true
    }

    /// Takes in a zone's sum; `false` if a later message came before it, or if the zone is
    /// this gateway's own, whose gateways tell it themselves.
    pub fn receive_zone(&mut self, zone: u64, from: MessageId, sum: Sum, now: Millis) -> bool {
        if zone == self.zone {
            return false;
        }
        if let Some((_, heard)) = self.zones.get_mut(&from.origin) {
            return heard.replace(from.sequence, sum, now);
        }
        let heard = Heard::new(from.sequence, sum, now);
        self.zones.insert(from.origin, (zone, heard));
        true
    }

    /// Takes in the fleet's sum; `false` if a later message came before it.
    pub fn receive_fleet(&mut self, from: MessageId, sum: Sum, now: Millis) -> bool {
        if let Some(heard) = self.fleets.get_mut(&from.origin) {
            return heard.replace(from.sequence, sum, now);
        }
        let heard = Heard::new(from.sequence, sum, now);
        self.fleets.insert(from.origin, heard);
        true
    }

    /// Whether a life of another gateway was heard and still counts.
    #[must_use]
    pub fn knows(&self, origin: Incarnation) -> bool {
        let mut nodes = self.nodes.values();
        nodes.any(|(known, _)| *known == origin)
            || self.zones.contains_key(&origin)
            || self.fleets.contains_key(&origin)
    }

    /// Whether anything that another gateway told still counts.
    #[must_use]
    pub fn has_peers(&self) -> bool {
        !self.nodes.is_empty() || !self.zones.is_empty() || !self.fleets.is_empty()
    }

    /// Forgets those that are silent, and names them.
    pub fn expire(&mut self, now: Millis) -> Vec<Incarnation> {
        let mut gone = Vec::new();
        self.nodes
            .retain(|_, (origin, heard)| keep(heard.age_ms(now), *origin, &mut gone));
        self.zones
            .retain(|origin, (_, heard)| keep(heard.age_ms(now), *origin, &mut gone));
        self.fleets
            .retain(|origin, heard| keep(heard.age_ms(now), *origin, &mut gone));
        gone
    }

    /// Whether gateways of the zone tell this one what they have.
    #[must_use]
    pub fn is_collecting(&self) -> bool {
        !self.nodes.is_empty()
    }

    /// What the zone's gateways have, this one included.
    #[must_use]
    pub fn zone_sum(&self) -> Sum {
        let mut sum = Sum::default();
        if let Some((number, state)) = self.told.back() {
            sum.add(self.origin, *number, state);
        }
        for (origin, heard) in self.nodes.values() {
            sum.add(*origin, heard.number, &heard.told);
        }
        sum
    }

    /// What the fleet's gateways have, this one included; those of the zone are named.
    #[must_use]
    pub fn fleet_sum(&self, now: Millis) -> Sum {
        let mut sum = self.zone_sum();
        for zone in self.best_zones(now) {
            sum.gateways += zone.gateways;
            sum.state.add(&zone.state);
        }
        sum
    }

    /// What all other gateways have, as far as it was told; `None` when nothing was.
    #[must_use]
    pub fn others(&self, now: Millis) -> Option<State> {
        if !self.nodes.is_empty() || !self.zones.is_empty() {
            let mut state = State::default();
            for (_, heard) in self.nodes.values() {
                state.add(&heard.told);
            }
            for zone in self.best_zones(now) {
                state.add(&zone.state);
            }
            return Some(state);
        }
        let best = best(self.fleets.values(), now)?;
        let mut state = best.state.clone();
        if let Some(own) = self.own_in(best) {
            state.subtract(own);
        }
        Some(state)
    }

    /// The own state that a sum holds.
    fn own_in(&self, sum: &Sum) -> Option<&State> {
        let member = sum.members.iter().find(|m| m.origin == self.origin)?;
        let mut told = self.told.iter();
        let (_, state) = told.find(|(number, _)| *number == member.sequence)?;
        Some(state)
    }

    /// The best sum of each other zone.
    fn best_zones(&self, now: Millis) -> Vec<&Sum> {
        let mut zones: Vec<u64> = self.zones.values().map(|(zone, _)| *zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let sums = zones.into_iter().filter_map(|zone| {
            let of_zone = self.zones.values().filter(|(of, _)| *of == zone);
            best(of_zone.map(|(_, heard)| heard), now)
        });
        sums.collect()
    }
}

/// Of sums of the same gateways the one that holds most of them, if it is fresh, else the
/// latest.
fn best<'a>(sums: impl Iterator<Item = &'a Heard<Sum>>, now: Millis) -> Option<&'a Sum> {
    let best = sums.max_by_key(|heard| {
        let nodes = if heard.age_ms(now) <= FRESH_MS {
            heard.told.gateways
        } else {
            0
        };
        (nodes, heard.at)
    });
    best.map(|heard| &heard.told)
}

/// Whether what a life told still counts; if not, it is named among those that are gone.
fn keep(age_ms: u64, origin: Incarnation, gone: &mut Vec<Incarnation>) -> bool {
    let is_heard = age_ms < EXPIRY_MS;
    if !is_heard {
        gone.push(origin);
    }
    is_heard
}
