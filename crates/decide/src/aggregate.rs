//! Hierarchical aggregation of the gateways' load on the servers.
//!
//! Every gateway sends its state to the collectors of its availability zone. Collectors send the
//! zone's sum to the collectors of other zones, and the fleet's sum to the gateways of their own
//! zone. Every message carries the full state and replaces the previous one of its sender, so that
//! lost or repeated messages and restarts never count anything twice.
//!
//! Full-mesh exchange does not scale: with a hundred gateways the interval between messages to a
//! peer exceeds the expiry of its state.

mod collector;
mod interval;
mod latest;
mod state;
mod sum;

use std::collections::{HashMap, VecDeque};

use mulberryyoke_model::{Incarnation, Millis};

pub use self::collector::{COLLECTORS_PER_ZONE, Placement, name_hash, rank_by_cpu};
pub use self::interval::interval_ms;
use self::latest::Latest;
pub use self::state::State;
pub use self::sum::{MessageId, Sum};

/// Age at which the state of another gateway expires: four of the longest intervals, so that three
/// consecutive messages may be lost.
pub const EXPIRY_MS: u64 = 4 * interval::MAX_INTERVAL_MS;

/// Age up to which the sum of most gateways is preferred to a later one: one interval plus half of
/// one for delays.
const FRESH_MS: u64 = interval::MAX_INTERVAL_MS * 3 / 2;

/// Number of own states kept for subtraction from the sums that contain them.
const MAX_OWN_STATES: usize = 64;

/// State received from other gateways.
#[derive(Clone, Debug, Default)]
pub struct Aggregate {
    origin: Incarnation,
    zone: u64,
    /// Own states by sequence number, oldest first.
    own_states: VecDeque<(u32, State)>,
    /// Gateways of the zone, by name hash.
    gateways: HashMap<u64, (Incarnation, Latest<State>)>,
    /// Sums of other zones, by collector.
    zones: HashMap<Incarnation, (u64, Latest<Sum>)>,
    /// Sums of the fleet, by collector.
    fleets: HashMap<Incarnation, Latest<Sum>>,
}

impl Aggregate {
    /// The empty state of a gateway with this incarnation and zone.
    #[must_use]
    pub fn new(origin: Incarnation, zone: &str) -> Self {
        Self {
            origin,
            zone: name_hash(zone),
            ..Self::default()
        }
    }

    /// Records the state that this gateway sends with a sequence number.
    pub fn record_own(&mut self, sequence: u32, state: State) {
        self.own_states.push_back((sequence, state));
        if self.own_states.len() > MAX_OWN_STATES {
            self.own_states.pop_front();
        }
    }

    /// Stores the state of a gateway of the zone; `false` if the message is outdated. A new
    /// incarnation replaces the previous one.
    pub fn receive_gateway(
        &mut self,
        gateway: u64,
        from: MessageId,
        state: State,
        now: Millis,
    ) -> bool {
        if let Some((origin, latest)) = self.gateways.get_mut(&gateway)
            && *origin == from.origin
        {
            return latest.replace(from.sequence, state, now);
        }
        let latest = Latest::new(from.sequence, state, now);
        self.gateways.insert(gateway, (from.origin, latest));
        true
    }

    /// Stores the sum of another zone; `false` if the message is outdated or the zone is this
    /// gateway's own, whose gateways report directly.
    pub fn receive_zone(&mut self, zone: u64, from: MessageId, sum: Sum, now: Millis) -> bool {
        if zone == self.zone {
            return false;
        }
        if let Some((_, latest)) = self.zones.get_mut(&from.origin) {
            return latest.replace(from.sequence, sum, now);
        }
        let latest = Latest::new(from.sequence, sum, now);
        self.zones.insert(from.origin, (zone, latest));
        true
    }

    /// Stores the sum of the fleet; `false` if the message is outdated.
    pub fn receive_fleet(&mut self, from: MessageId, sum: Sum, now: Millis) -> bool {
        if let Some(latest) = self.fleets.get_mut(&from.origin) {
            return latest.replace(from.sequence, sum, now);
        }
        let latest = Latest::new(from.sequence, sum, now);
        self.fleets.insert(from.origin, latest);
        true
    }

    /// Whether a message from this incarnation has been received and has not expired.
    #[must_use]
    pub fn knows(&self, origin: Incarnation) -> bool {
        let mut gateways = self.gateways.values();
        gateways.any(|(known, _)| *known == origin)
            || self.zones.contains_key(&origin)
            || self.fleets.contains_key(&origin)
    }

    /// Whether any state from other gateways is present.
    #[must_use]
    pub fn has_peers(&self) -> bool {
        !self.gateways.is_empty() || !self.zones.is_empty() || !self.fleets.is_empty()
    }

    /// Removes expired state and returns the incarnations it came from.
    pub fn expire(&mut self, now: Millis) -> Vec<Incarnation> {
        let mut expired = Vec::new();
        self.gateways
            .retain(|_, (origin, latest)| retain(latest.age_ms(now), *origin, &mut expired));
        self.zones
            .retain(|origin, (_, latest)| retain(latest.age_ms(now), *origin, &mut expired));
        self.fleets
            .retain(|origin, latest| retain(latest.age_ms(now), *origin, &mut expired));
        expired
    }

    /// Whether gateways of the zone report to this one.
    #[must_use]
    pub fn is_collecting(&self) -> bool {
        !self.gateways.is_empty()
    }

    /// Sum over the gateways of the zone, including this one.
    #[must_use]
    pub fn zone_sum(&self) -> Sum {
        let mut sum = Sum::default();
        if let Some((sequence, state)) = self.own_states.back() {
            sum.add(self.origin, *sequence, state);
        }
        for (origin, latest) in self.gateways.values() {
            sum.add(*origin, latest.sequence, &latest.value);
        }
        sum
    }

    /// Sum over all gateways, including this one; `members` lists only those of the zone.
    #[must_use]
    pub fn fleet_sum(&self, now: Millis) -> Sum {
        let mut sum = self.zone_sum();
        for zone in self.best_zones(now) {
            sum.gateways += zone.gateways;
            sum.state.add(&zone.state);
        }
        sum
    }

    /// Known state of all other gateways; `None` if none has been received.
    #[must_use]
    pub fn others(&self, now: Millis) -> Option<State> {
        if !self.gateways.is_empty() || !self.zones.is_empty() {
            let mut state = State::default();
            for (_, latest) in self.gateways.values() {
                state.add(&latest.value);
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

    /// The own state that is contained in a sum.
    fn own_in(&self, sum: &Sum) -> Option<&State> {
        let member = sum.members.iter().find(|m| m.origin == self.origin)?;
        let mut own_states = self.own_states.iter();
        let (_, state) = own_states.find(|(sequence, _)| *sequence == member.sequence)?;
        Some(state)
    }

    /// The preferred sum of each other zone.
    fn best_zones(&self, now: Millis) -> Vec<&Sum> {
        let mut zones: Vec<u64> = self.zones.values().map(|(zone, _)| *zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let sums = zones.into_iter().filter_map(|zone| {
            let of_zone = self.zones.values().filter(|(of, _)| *of == zone);
            best(of_zone.map(|(_, latest)| latest), now)
        });
        sums.collect()
    }
}

/// Selects among sums of the same gateways: the fresh one that covers most gateways, else the
/// latest.
fn best<'a>(sums: impl Iterator<Item = &'a Latest<Sum>>, now: Millis) -> Option<&'a Sum> {
    let best = sums.max_by_key(|latest| {
        let gateways = if latest.age_ms(now) <= FRESH_MS {
            latest.value.gateways
        } else {
            0
        };
        (gateways, latest.received_at)
    });
    best.map(|latest| &latest.value)
}

/// Whether state of this age is kept; if not, its origin is added to `expired`.
fn retain(age_ms: u64, origin: Incarnation, expired: &mut Vec<Incarnation>) -> bool {
    let is_current = age_ms < EXPIRY_MS;
    if !is_current {
        expired.push(origin);
    }
    is_current
}
