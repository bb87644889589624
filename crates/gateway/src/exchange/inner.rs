//! What a gateway knows of its peers, and the messages that it makes of it.

use std::collections::HashMap;
use std::net::SocketAddr;

use mulberryyoke_decide::aggregate::{Aggregate, MessageId, Placement, State, Sum, name_hash};
use mulberryyoke_decide::engine::Load;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::Incarnation;
use mulberryyoke_wire::aggregate::{Message, Scope};

use super::peers::{Peer, Peers};
use super::reads::Reads;
use super::upstream::Upstream;
use crate::core::Core;

/// Least time between two additions of all that was heard, in milliseconds: with few
/// gateways what one tells counts at once, and with many each costs a bounded part of the
/// processor.
const COUNT_MS: u64 = 5;

/// A message and where it goes.
pub(super) type Outgoing = (Message, Vec<SocketAddr>);

/// What a gateway knows of its peers, and what it has to tell them.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) name: String,
    pub(super) place: Placement,
    pub(super) peers: Peers,
    /// Where larger gateways of the zone take connections that are handed on; found when peers
    /// change, as each connection and answer of a node that is behind asks for it.
    pub(super) larger: Vec<SocketAddr>,
    pub(super) aggregate: Aggregate,
    pub(super) reads: Reads,
    upstream: Upstream,
    /// Gateways of the zone that want the fleet's sum.
    wanting: HashMap<Incarnation, SocketAddr>,
    /// Collectors of other zones, as they were heard.
    collectors: HashMap<Incarnation, SocketAddr>,
    pub(super) number: u32,
    /// When what was heard was last added up, in milliseconds of this process's clock.
    counted_ms: u64,
    pub(super) is_changed: bool,
    is_alone: bool,
}

impl Inner {
    /// That of a gateway which has heard of nobody.
    pub(super) fn new(origin: Incarnation, name: &str, place: Placement) -> Self {
        Self {
            name: name.to_owned(),
            aggregate: Aggregate::new(origin, &place.zone),
            place,
            peers: Peers::default(),
            larger: Vec::new(),
            reads: Reads::default(),
            upstream: Upstream::default(),
            wanting: HashMap::new(),
            collectors: HashMap::new(),
            number: 0,
            counted_ms: 0,
            is_changed: false,
            is_alone: false,
        }
    }

    pub(super) fn set_peer(&mut self, name: &str, peer: Option<Peer>) {
        self.peers.set(name, peer);
        self.larger = self.peers.larger(&self.place);
    }

    pub(super) fn set_handoff(&mut self, name: &str, address: Option<SocketAddr>) {
        self.peers.set_handoff(name, address);
        self.larger = self.peers.larger(&self.place);
    }

    /// Whether this gateway adds up what those of its zone have: as one of the zone's
    /// collectors, or because others found none of them.
    pub(super) fn collects(&self) -> bool {
        let own = (self.name.as_str(), &self.place);
        self.aggregate.is_collecting() || self.peers.is_collector(own)
    }

    /// Where the collectors of the zone take messages, this gateway left out, and those asked
    /// in place of the ones that are passed over.
    fn collectors_of_zone(&self, passed: usize) -> Vec<SocketAddr> {
        let own = (self.name.as_str(), &self.place);
        self.peers.collectors(own, passed)
    }

    /// Where those of the other zones take them: as they are known, and as they were heard.
    pub(super) fn zones(&self) -> Vec<SocketAddr> {
        let mut zones = self.peers.collectors_elsewhere(&self.place.zone);
        zones.extend(self.collectors.values());
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// What this gateway tells the collectors of its zone.
    pub(super) fn own_messages(
        &mut self,
        origin: Incarnation,
        number: u32,
        state: State,
        now: u64,
    ) -> Vec<Outgoing> {
        let reads = self.reads.take_own();
        let collects = self.collects();
        let sum = Sum {
            gateways: 1,
            members: Vec::new(),
            state,
        };
        let node = name_hash(&self.name);
        let from = MessageId {
            origin,
            sequence: number,
        };
        let passed = if collects { 0 } else { self.upstream.passed() };
        let to = self.collectors_of_zone(passed);
        if !collects {
            self.upstream.choose(&to, now);
        }
        let messages = to.into_iter().map(|address| {
            let wants_fleet = !collects && self.upstream.is_asked(address, now);
            let scope = Scope::Node { node, wants_fleet };
            (
                Message::new(from, scope, &sum, reads.clone()),
                vec![address],
            )
        });
        messages.collect()
    }

    /// What this gateway tells other zones and the gateways of its own.
    pub(super) fn sums(&mut self, origin: Incarnation, now: u64) -> Vec<Outgoing> {
        let mut sums = Vec::new();
        let zone_reads = self.reads.take_zone();
        let fleet_reads = self.reads.take_fleet();
        let zones = self.zones();
        if !zones.is_empty() {
            let scope = Scope::Zone {
                zone: name_hash(&self.place.zone),
            };
            let from = self.next(origin);
            let sum = self.aggregate.zone_sum();
            sums.push((Message::new(from, scope, &sum, zone_reads), zones));
        }
        if !self.wanting.is_empty() {
            let from = self.next(origin);
            let sum = self.aggregate.fleet_sum(now);
            let to = self.wanting.values().copied().collect();
            sums.push((Message::new(from, Scope::Fleet, &sum, fleet_reads), to));
        }
        sums
    }

    fn next(&mut self, origin: Incarnation) -> MessageId {
        self.number = self.number.wrapping_add(1);
        MessageId {
            origin,
            sequence: self.number,
        }
    }

    /// Takes in a message; `false` if a later one came before it.
    pub(super) fn take(&mut self, message: &Message, from: SocketAddr, now: u64) -> bool {
        let sum = message.sum();
        match message.scope {
            Scope::Node { node, wants_fleet } => {
                self.reads.pass(&message.prefills, true, now);
                if wants_fleet {
                    self.wanting.insert(message.origin, from);
                } else {
                    self.wanting.remove(&message.origin);
                }
                self.aggregate
                    .receive_gateway(node, message.id(), sum.state, now)
            }
            Scope::Zone { zone } => {
                self.reads.pass(&message.prefills, false, now);
                self.collectors.insert(message.origin, from);
                self.aggregate.receive_zone(zone, message.id(), sum, now)
            }
            Scope::Fleet => {
                let is_collector = self.collectors_of_zone(0).contains(&from);
                self.upstream.hear(from, is_collector, now);
                self.aggregate.receive_fleet(message.id(), sum, now)
            }
        }
    }

    /// Forgets where lives take messages that are not heard any more.
    pub(super) fn forget(&mut self) {
        let aggregate = &self.aggregate;
        self.wanting.retain(|origin, _| aggregate.knows(*origin));
        self.collectors.retain(|origin, _| aggregate.knows(*origin));
        // An estimate follows what this gateway itself has.
        self.is_changed |= !aggregate.has_peers() && self.peers.len() > 0;
    }

    /// Adds up what was heard, unless that was done just now or nothing has changed.
    pub(super) fn count_if_due(&mut self, core: &Core, now: u64) {
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
            log!(core.logger, Event::PeerLoadUnknown, "alone" => is_alone, "peers" => self.peers.len());
        }
        let used = core.registry.subset();
        let others = told.unwrap_or_else(|| {
            let peers = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
            own(core).extrapolate(peers, &core.registry.pool_subsets())
        });
        for backend in &used {
            let load = others.loads.get(&backend.server.id);
            backend.engine.lock().others = load.copied().unwrap_or_default();
        }
        core.shares.lock().set_remote(&others.flows);
    }
}

/// What this gateway has at the servers, and what customers asked of it and were given.
pub(super) fn own(core: &Core) -> State {
    let used = core.registry.subset();
    let loads = used.iter().filter_map(|backend| {
        let load = backend.engine.lock().own;
        (load != Load::default()).then_some((backend.server.id, load))
    });
    let loads = loads.collect();
    let flows = core.shares.lock().local().collect();
    State { loads, flows }
}
