//! State received from peers, and the messages derived from it.

use std::collections::HashMap;
use std::net::SocketAddr;

use mulberryyoke_decide::aggregate::{Aggregate, MessageId, Placement, State, Sum, name_hash};
use mulberryyoke_decide::engine::Load;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::Incarnation;
use mulberryyoke_wire::aggregate::{Message, Scope};

use super::fleet_source::FleetSource;
use super::peers::{Peer, Peers};
use super::prefix_queue::PrefixQueue;
use crate::core::Core;

/// Minimum interval at which received state is applied to the servers, in milliseconds. Bounds
/// the processor time spent on it in large fleets.
const APPLY_INTERVAL_MS: u64 = 5;

/// A message and its destinations.
pub(super) type Outgoing = (Message, Vec<SocketAddr>);

/// Peers, their state, and the queue of prefixes to send.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) name: String,
    pub(super) placement: Placement,
    pub(super) peers: Peers,
    /// Addresses at which larger gateways of the zone accept handed-off connections. Cached,
    /// because an overloaded node needs them for each connection and response.
    pub(super) handoff_targets: Vec<SocketAddr>,
    pub(super) aggregate: Aggregate,
    pub(super) prefixes: PrefixQueue,
    fleet_source: FleetSource,
    /// Gateways of the zone that request the fleet sum from this one.
    subscribers: HashMap<Incarnation, SocketAddr>,
    /// Collectors of other zones from which messages were received.
    remote_collectors: HashMap<Incarnation, SocketAddr>,
    pub(super) sequence: u32,
    /// When received state was last applied, in milliseconds of the boot clock.
    applied_ms: u64,
    /// Whether received state has changed since then.
    pub(super) is_dirty: bool,
    /// Whether peers are registered but no current state of any of them is available.
    is_isolated: bool,
}

impl Inner {
    pub(super) fn new(origin: Incarnation, name: &str, placement: Placement) -> Self {
        Self {
            name: name.to_owned(),
            aggregate: Aggregate::new(origin, &placement.zone),
            placement,
            peers: Peers::default(),
            handoff_targets: Vec::new(),
            prefixes: PrefixQueue::default(),
            fleet_source: FleetSource::default(),
            subscribers: HashMap::new(),
            remote_collectors: HashMap::new(),
            sequence: 0,
            applied_ms: 0,
            is_dirty: false,
            is_isolated: false,
        }
    }

    pub(super) fn set_peer(&mut self, name: &str, peer: Option<Peer>) {
        self.peers.set(name, peer);
        self.handoff_targets = self.peers.handoff_targets(&self.placement);
    }

    pub(super) fn set_handoff(&mut self, name: &str, address: Option<SocketAddr>) {
        self.peers.set_handoff(name, address);
        self.handoff_targets = self.peers.handoff_targets(&self.placement);
    }

    /// Returns whether this gateway aggregates the state of its zone: as one of the zone's
    /// collectors, or because other gateways could not reach those.
    pub(super) fn is_collector(&self) -> bool {
        let own = (self.name.as_str(), &self.placement);
        self.aggregate.is_collecting() || self.peers.is_collector(own)
    }

    /// Returns the addresses of the zone's collectors other than this gateway, followed by their
    /// replacements if `skipped` gateways do not respond.
    fn zone_collectors(&self, skipped: usize) -> Vec<SocketAddr> {
        let own = (self.name.as_str(), &self.placement);
        self.peers.collectors(own, skipped)
    }

    /// Returns the addresses of other zones' collectors: those registered and those from which
    /// messages were received.
    pub(super) fn remote_collectors(&self) -> Vec<SocketAddr> {
        let mut addresses = self.peers.remote_collectors(&self.placement.zone);
        addresses.extend(self.remote_collectors.values());
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Returns this gateway's messages to the collectors of its zone.
    pub(super) fn own_messages(
        &mut self,
        origin: Incarnation,
        sequence: u32,
        state: State,
        now: u64,
    ) -> Vec<Outgoing> {
        let prefixes = self.prefixes.take_own();
        let own = (self.name.as_str(), &self.placement);
        let is_collector = self.peers.is_collector(own);
        let sum = Sum {
            gateways: 1,
            members: Vec::new(),
            state,
        };
        let node = name_hash(&self.name);
        let from = MessageId { origin, sequence };
        let skipped = if is_collector {
            0
        } else {
            self.fleet_source.skipped()
        };
        let to = self.zone_collectors(skipped);
        if !is_collector {
            self.fleet_source.update(&to, now);
        }
        let messages = to.into_iter().map(|address| {
            let wants_fleet = !is_collector && self.fleet_source.is_requested(address, now);
            let scope = Scope::Node { node, wants_fleet };
            (
                Message::new(from, scope, &sum, prefixes.clone()),
                vec![address],
            )
        });
        messages.collect()
    }

    /// Returns the zone sum for other zones' collectors and the fleet sum for the subscribers.
    pub(super) fn sum_messages(&mut self, origin: Incarnation, now: u64) -> Vec<Outgoing> {
        let mut messages = Vec::new();
        let zone_prefixes = self.prefixes.take_zone();
        let fleet_prefixes = self.prefixes.take_fleet();
        let collectors = self.remote_collectors();
        if !collectors.is_empty() {
            let scope = Scope::Zone {
                zone: name_hash(&self.placement.zone),
            };
            let from = self.next_id(origin);
            let sum = self.aggregate.zone_sum();
            messages.push((Message::new(from, scope, &sum, zone_prefixes), collectors));
        }
        if !self.subscribers.is_empty() {
            let from = self.next_id(origin);
            let sum = self.aggregate.fleet_sum(now);
            let to = self.subscribers.values().copied().collect();
            messages.push((Message::new(from, Scope::Fleet, &sum, fleet_prefixes), to));
        }
        messages
    }

    fn next_id(&mut self, origin: Incarnation) -> MessageId {
        self.sequence = self.sequence.wrapping_add(1);
        MessageId {
            origin,
            sequence: self.sequence,
        }
    }

    /// Merges a message; returns `false` if a later one has already been received.
    pub(super) fn receive(&mut self, message: &Message, from: SocketAddr, now: u64) -> bool {
        let sum = message.sum();
        match message.scope {
            Scope::Node { node, wants_fleet } => {
                self.prefixes.forward(&message.prefills, true, now);
                if wants_fleet {
                    self.subscribers.insert(message.origin, from);
                } else {
                    self.subscribers.remove(&message.origin);
                }
                self.aggregate
                    .receive_gateway(node, message.id(), sum.state, now)
            }
            Scope::Zone { zone } => {
                self.prefixes.forward(&message.prefills, false, now);
                self.remote_collectors.insert(message.origin, from);
                self.aggregate.receive_zone(zone, message.id(), sum, now)
            }
            Scope::Fleet => {
                let own = (self.name.as_str(), &self.placement);
                let skipped = self.peers.skipped_before(own, from);
                self.fleet_source.receive(from, skipped, now);
                self.aggregate.receive_fleet(message.id(), sum, now)
            }
        }
    }

    /// Removes the addresses of instances whose state has expired.
    pub(super) fn expire(&mut self) {
        let aggregate = &self.aggregate;
        self.subscribers
            .retain(|origin, _| aggregate.knows(*origin));
        self.remote_collectors
            .retain(|origin, _| aggregate.knows(*origin));
        // Without messages, the peers' load is extrapolated from local state, which changes.
        self.is_dirty |= !aggregate.has_peers() && self.peers.len() > 0;
    }

    /// Applies received state to the servers, if it has changed and the interval has elapsed.
    pub(super) fn apply_if_due(&mut self, core: &Core, now: u64) {
        if self.is_dirty && now.saturating_sub(self.applied_ms) >= APPLY_INTERVAL_MS {
            self.is_dirty = false;
            self.applied_ms = now;
            self.apply(core, now);
        }
    }

    fn apply(&mut self, core: &Core, now: u64) {
        let received = self.aggregate.others(now);
        let is_isolated = received.is_none() && self.peers.len() > 0;
        if is_isolated != self.is_isolated {
            self.is_isolated = is_isolated;
            log!(core.logger, Event::PeerLoadUnknown, "alone" => is_isolated, "peers" => self.peers.len());
        }
        let backends = core.registry.subset();
        let others = received.unwrap_or_else(|| {
            let peers = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
            local_state(core).extrapolate(peers, &core.registry.pool_subsets())
        });
        for backend in &backends {
            let load = others.loads.get(&backend.server.id);
            let load = load.copied().unwrap_or_default();
            backend.engine().set_others(load, now);
        }
        core.shares.lock().set_remote(&others.flows);
    }
}

/// Returns this gateway's load on the servers and its customers' usage.
pub(super) fn local_state(core: &Core) -> State {
    let backends = core.registry.subset();
    let loads = backends.iter().filter_map(|backend| {
        let load = backend.engine().own;
        (load != Load::default()).then_some((backend.server.id, load))
    });
    let loads = loads.collect();
    let flows = core.shares.lock().local().collect();
    State { loads, flows }
}
