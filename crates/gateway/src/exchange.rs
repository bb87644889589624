//! What gateways tell each other: what each has at the servers, what customers asked of it,
//! and which shared prompt parts it had servers read.

mod announce;
mod peers;
mod reads;
mod run;
mod sponsor;

use std::collections::HashMap;
use std::net::SocketAddr;

use mulberryyoke_decide::aggregate::{Aggregate, Member, Place, State, Sum, interval_ms, rank};
use mulberryyoke_decide::engine::{Load, Prompt};
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Incarnation, ServerId};
use mulberryyoke_wire::beat::{Beat, Read, Scope};
use parking_lot::Mutex;

pub(crate) use self::announce::{PREFIX, announce};
pub(crate) use self::peers::Peer;
use self::peers::Peers;
use self::reads::Reads;
pub(crate) use self::run::run;
use self::sponsor::Sponsor;
use crate::clock;
use crate::core::Core;

/// Least time between two additions of all that was heard, in milliseconds: with few
/// gateways what one tells counts at once, and with many each costs a bounded part of the
/// processor.
const COUNT_MS: u64 = 5;

/// What this gateway exchanges with its peers.
#[derive(Debug)]
pub(crate) struct Exchange {
    origin: Incarnation,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    name: String,
    place: Place,
    peers: Peers,
    aggregate: Aggregate,
    reads: Reads,
    sponsor: Sponsor,
    /// Gateways of the zone that want the fleet's sum.
    wanting: HashMap<Incarnation, SocketAddr>,
    /// Collectors of other zones, as they were heard.
    collectors: HashMap<Incarnation, SocketAddr>,
    number: u32,
    /// When what was heard was last added up, in milliseconds of this process's clock.
    counted_ms: u64,
    is_changed: bool,
    is_alone: bool,
}

/// A message and where it goes.
type Outgoing = (Beat, Vec<SocketAddr>);

impl Exchange {
    pub(crate) fn new(name: &str, place: Place) -> Self {
        let origin = Incarnation(rand::random());
        let inner = Inner {
            name: name.to_owned(),
            aggregate: Aggregate::new(origin, &place.zone),
            place,
            peers: Peers::default(),
            reads: Reads::default(),
            sponsor: Sponsor::default(),
            wanting: HashMap::new(),
            collectors: HashMap::new(),
            number: 0,
            counted_ms: 0,
            is_changed: false,
            is_alone: false,
        };
        Self {
            origin,
            inner: Mutex::new(inner),
        }
    }

    /// Notes where a peer is and takes messages, or that it is gone.
    pub(crate) fn set_peer(&self, name: &str, peer: Option<Peer>) {
        self.inner.lock().peers.set(name, peer);
    }

    /// Whether this gateway is one of the few that ask the key-value service, and
    /// where the others of these are. All gateways that know of each other agree.
    pub(crate) fn watchers(&self) -> (bool, Vec<SocketAddr>) {
        let inner = self.inner.lock();
        inner.peers.watchers(&inner.name, &inner.place)
    }

    /// Number of gateways that are known, this one included.
    pub(crate) fn gateways(&self) -> usize {
        self.inner.lock().peers.len() + 1
    }

    /// Notes that a server is given a prompt, to tell its shared parts.
    pub(crate) fn note(&self, server: ServerId, prompt: &Prompt, is_new: bool) {
        let Some(key) = prompt.home() else {
            return;
        };
        let mut inner = self.inner.lock();
        if inner.peers.len() > 0 {
            let read = || Read {
                server,
                shared: prompt.shared.to_vec(),
            };
            inner.reads.note(key, read, is_new, server, clock::now_ms());
        }
    }

    /// Time from a round of so many packets to the next, in milliseconds.
    fn interval_ms(&self, packets: usize) -> u64 {
        let inner = self.inner.lock();
        interval_ms(packets, inner.place.processors(), inner.collects())
    }

    /// The messages of a round.
    fn round(&self, core: &Core) -> Vec<Outgoing> {
        let mut inner = self.inner.lock();
        let now = clock::now_ms();
        inner.reads.forget(now);
        let own = own(core);
        inner.number = inner.number.wrapping_add(1);
        let number = inner.number;
        inner.aggregate.tell(number, own.clone());
        let mut round = inner.own_messages(self.origin, number, own, now);
        if inner.collects() {
            round.extend(inner.sums(self.origin, now));
        }
        round
    }

    fn hear(&self, core: &Core, beat: &Beat, from: SocketAddr) {
        if beat.origin == self.origin {
            return;
        }
        let now = clock::now_ms();
        let mut inner = self.inner.lock();
        let is_known = inner.aggregate.knows(beat.origin);
        if !inner.take(beat, from, now) {
            return;
        }
        inner.is_changed = true;
        if !is_known {
            log!(core.logger, Event::PeerUp, "peer" => beat.origin.0, "address" => from.to_string());
        }
        inner.count_if_due(core, now);
        drop(inner);
        for read in &beat.reads {
            if let Some(backend) = core.roster.by_id(read.server) {
                backend.engine.lock().cache.insert(&read.shared);
            }
        }
    }

    /// Stops counting what peers told that are silent.
    fn expire(&self, core: &Core) {
        let now = clock::now_ms();
        let mut inner = self.inner.lock();
        for origin in inner.aggregate.expire(now) {
            inner.is_changed = true;
            inner.wanting.remove(&origin);
            inner.collectors.remove(&origin);
            log!(core.logger, Event::PeerDown, "peer" => origin.0);
        }
        inner.count_if_due(core, now);
    }
}

impl Inner {
    /// Whether this gateway adds up what those of its zone have: as one of the zone's
    /// collectors, or because others found none of them.
    fn collects(&self) -> bool {
        let own = (self.name.as_str(), &self.place);
        self.aggregate.collects() || self.peers.is_collector(own)
    }

    /// Where the collectors of the zone take messages, this gateway left out, and those asked
    /// in place of the ones that are passed over.
    fn collectors_of_zone(&self, passed: usize) -> Vec<SocketAddr> {
        let own = (self.name.as_str(), &self.place);
        self.peers.collectors(own, passed)
    }

    /// Where those of the other zones take them: as they are known, and as they were heard.
    fn zones(&self) -> Vec<SocketAddr> {
        let mut zones = self.peers.collectors_elsewhere(&self.place.zone);
        zones.extend(self.collectors.values());
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// What this gateway tells the collectors of its zone.
    fn own_messages(
        &mut self,
        origin: Incarnation,
        number: u32,
        state: State,
        now: u64,
    ) -> Vec<Outgoing> {
        let reads = self.reads.take_own();
        let collects = self.collects();
        let sum = Sum {
            nodes: 1,
            members: Vec::new(),
            state,
        };
        let node = rank(&self.name);
        let from = Member { origin, number };
        let passed = if collects { 0 } else { self.sponsor.passed() };
        let to = self.collectors_of_zone(passed);
        if !collects {
            self.sponsor.choose(&to, now);
        }
        let messages = to.into_iter().map(|address| {
            let wants_fleet = !collects && self.sponsor.is_asked(address, now);
            let scope = Scope::Node { node, wants_fleet };
            (Beat::new(from, scope, &sum, reads.clone()), vec![address])
        });
        messages.collect()
    }

    /// What this gateway tells other zones and the gateways of its own.
    fn sums(&mut self, origin: Incarnation, now: u64) -> Vec<Outgoing> {
        let mut sums = Vec::new();
        let zone_reads = self.reads.take_zone();
        let fleet_reads = self.reads.take_fleet();
        let zones = self.zones();
        if !zones.is_empty() {
            let scope = Scope::Zone {
                zone: rank(&self.place.zone),
            };
            let from = self.next(origin);
            let sum = self.aggregate.zone_sum();
            sums.push((Beat::new(from, scope, &sum, zone_reads), zones));
        }
        if !self.wanting.is_empty() {
            let from = self.next(origin);
            let sum = self.aggregate.fleet_sum(now);
            let to = self.wanting.values().copied().collect();
            sums.push((Beat::new(from, Scope::Fleet, &sum, fleet_reads), to));
        }
        sums
    }

    fn next(&mut self, origin: Incarnation) -> Member {
        self.number = self.number.wrapping_add(1);
        Member {
            origin,
            number: self.number,
        }
    }

    /// Takes in a message; `false` if a later one came before it.
    fn take(&mut self, beat: &Beat, from: SocketAddr, now: u64) -> bool {
        let sum = beat.sum();
        match beat.scope {
            Scope::Node { node, wants_fleet } => {
                self.reads.pass(&beat.reads, true, now);
                if wants_fleet {
                    self.wanting.insert(beat.origin, from);
                } else {
                    self.wanting.remove(&beat.origin);
                }
                self.aggregate
                    .hear_node(node, beat.member(), sum.state, now)
            }
            Scope::Zone { zone } => {
                self.reads.pass(&beat.reads, false, now);
                self.collectors.insert(beat.origin, from);
                self.aggregate.hear_zone(zone, beat.member(), sum, now)
            }
            Scope::Fleet => {
                let is_collector = self.collectors_of_zone(0).contains(&from);
                self.sponsor.hear(from, is_collector, now);
                self.aggregate.hear_fleet(beat.member(), sum, now)
            }
        }
    }

    /// Adds up what was heard, unless that was done just now or nothing has changed.
    fn count_if_due(&mut self, core: &Core, now: u64) {
        if self.is_changed && now.saturating_sub(self.counted_ms) >= COUNT_MS {
            self.is_changed = false;
            self.counted_ms = now;
            self.count(core, now);
        }
    }

    fn count(&mut self, core: &Core, now: u64) {
        let told = self.aggregate.others(now);
        let is_alone = told.is_none() && self.peers.len() > 0;
        if is_alone != self.is_alone {
            self.is_alone = is_alone;
            log!(core.logger, Event::Alone, "alone" => is_alone, "peers" => self.peers.len());
        }
        let all = core.roster.all();
        let others = told.unwrap_or_else(|| {
            let servers: Vec<ServerId> = all.iter().map(|backend| backend.server.id).collect();
            let peers = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
            own(core).estimate(peers, &servers)
        });
        for backend in &all {
            let load = others.loads.get(&backend.server.id);
            backend.engine.lock().others = load.copied().unwrap_or_default();
        }
        core.shares.lock().set_others(&others.flows);
    }
}

/// What this gateway has at the servers, and what customers asked of it and were given.
fn own(core: &Core) -> State {
    let all = core.roster.all();
    let loads = all.iter().filter_map(|backend| {
        let load = backend.engine.lock().own;
        (load != Load::default()).then_some((backend.server.id, load))
    });
    let loads = loads.collect();
    let flows = core.shares.lock().own().collect();
    State { loads, flows }
}
