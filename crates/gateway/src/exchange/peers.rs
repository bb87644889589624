//! Registered gateways and the roles derived from their registrations.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use mulberryyoke_decide::aggregate::{COLLECTORS_PER_ZONE, Placement, name_hash, rank_by_cpu};
use mulberryyoke_decide::handoff::targets;
use mulberryyoke_decide::quarantine::arbiter;
use mulberryyoke_decide::stream::{replicas, writer};
use mulberryyoke_model::{Digest, StreamId};

/// Number of gateways that watch the key-value service; tolerates the failure of any two.
const WATCHERS: usize = 3;

/// A gateway's registration: the address at which it receives messages, and its placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Peer {
    pub(crate) address: SocketAddr,
    pub(crate) placement: Placement,
}

impl Peer {
    /// Parses `ADDRESS MILLICPUS ZONE`. Earlier releases, which do not understand this release's
    /// messages, register the address alone.
    pub(crate) fn parse(value: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(value).ok()?;
        let mut fields = text.splitn(3, ' ');
        let address = fields.next()?.parse().ok()?;
        let millicpus = fields.next().and_then(|field| field.parse().ok());
        let placement = Placement {
            zone: fields.next().unwrap_or_default().to_owned(),
            millicpus: millicpus.unwrap_or(0),
        };
        Some(Self { address, placement })
    }

    /// Formats the registration for [`Peer::parse`].
    pub(crate) fn encode(&self) -> String {
        let Placement { zone, millicpus } = &self.placement;
        format!("{} {millicpus} {zone}", self.address)
    }
}

/// Registered gateways other than this one.
#[derive(Debug, Default)]
pub(super) struct Peers {
    by_name: HashMap<String, Peer>,
    /// Addresses that accept handed-off connections, by name.
    handoffs: HashMap<String, SocketAddr>,
    /// Names by zone, collectors first.
    zones: BTreeMap<String, Vec<String>>,
}

impl Peers {
    pub(super) fn set(&mut self, name: &str, peer: Option<Peer>) {
        match peer {
            Some(peer) => self.by_name.insert(name.to_owned(), peer),
            None => self.by_name.remove(name),
        };
        self.zones.clear();
        let mut zones: BTreeMap<&str, Vec<(&str, &Placement)>> = BTreeMap::new();
        for (name, peer) in &self.by_name {
            let zone_peers = zones.entry(&peer.placement.zone).or_default();
            zone_peers.push((name, &peer.placement));
        }
        for (zone, peers) in zones {
            let names = rank_by_cpu(peers.into_iter());
            let names = names.into_iter().map(str::to_owned).collect();
            self.zones.insert(zone.to_owned(), names);
        }
    }

    pub(super) fn set_handoff(&mut self, name: &str, address: Option<SocketAddr>) {
        match address {
            Some(address) => self.handoffs.insert(name.to_owned(), address),
            None => self.handoffs.remove(name),
        };
    }

    /// Returns the addresses at which larger gateways of the zone accept handed-off connections.
    pub(super) fn handoff_targets(&self, own: &Placement) -> Vec<SocketAddr> {
        let names = self.zones.get(&own.zone).into_iter().flatten();
        let known = names.filter_map(|name| {
            let address = *self.handoffs.get(name)?;
            Some((
                name_hash(name),
                (self.by_name.get(name)?.placement.millicpus, address),
            ))
        });
        let known: HashMap<u64, (u32, SocketAddr)> = known.collect();
        let sizes = known.iter().map(|(rank, (size, _))| (*rank, *size));
        let targets = targets(own.millicpus, sizes);
        let addresses = targets.into_iter().filter_map(|rank| known.get(&rank));
        addresses.map(|(_, address)| *address).collect()
    }

    pub(super) fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether this gateway, given by name and placement, is a collector of its zone.
    pub(super) fn is_collector(&self, (name, placement): (&str, &Placement)) -> bool {
        let ranked = self.ranked((name, placement));
        ranked
            .into_iter()
            .take(COLLECTORS_PER_ZONE)
            .any(|collector| collector == name)
    }

    /// Returns the addresses of the collectors of this gateway's zone other than itself. If
    /// `skipped` gateways did not respond, the next ones are included.
    pub(super) fn collectors(&self, own: (&str, &Placement), skipped: usize) -> Vec<SocketAddr> {
        let ranked = self.ranked(own);
        let count = skipped % ranked.len() + COLLECTORS_PER_ZONE;
        let names = ranked.iter().take(count);
        let peers = names.filter_map(|name| self.by_name.get(*name));
        let mut addresses: Vec<SocketAddr> = peers.map(|peer| peer.address).collect();
        addresses.dedup();
        addresses
    }

    /// Returns the number of gateways of the zone that are asked to collect before the one at this
    /// address is.
    pub(super) fn skipped_before(
        &self,
        own: (&str, &Placement),
        address: SocketAddr,
    ) -> Option<usize> {
        let has_address = |name: &&str| {
            let peer = self.by_name.get(*name);
            peer.is_some_and(|peer| peer.address == address)
        };
        let rank = self.ranked(own).iter().position(has_address)?;
        Some(rank - rank % COLLECTORS_PER_ZONE)
    }

    /// Returns the addresses of the collectors of all zones other than `zone`.
    pub(super) fn remote_collectors(&self, zone: &str) -> Vec<SocketAddr> {
        let zones = self.zones.iter().filter(|(name, _)| *name != zone);
        let names = zones.flat_map(|(_, names)| names.iter().take(COLLECTORS_PER_ZONE));
        let peers = names.filter_map(|name| self.by_name.get(name));
        peers.map(|peer| peer.address).collect()
    }

    /// Returns whether this gateway watches the key-value service, and the addresses of the other
    /// watchers.
    pub(super) fn watchers(&self, name: &str, placement: &Placement) -> (bool, Vec<SocketAddr>) {
        let all = self.by_name.iter();
        let all = all.map(|(name, peer)| (name.as_str(), &peer.placement));
        let mut ranked = rank_by_cpu(all.chain([(name, placement)]));
        ranked.truncate(WATCHERS);
        let is_watcher = ranked.contains(&name);
        let peers = ranked.into_iter().filter_map(|name| self.by_name.get(name));
        let mut peers: Vec<SocketAddr> = peers.map(|peer| peer.address).collect();
        // Rotated by the name's hash, so that other gateways spread over the watchers.
        let first = usize::try_from(name_hash(name) % WATCHERS as u64).unwrap_or(0);
        let first = first.min(peers.len());
        peers.rotate_left(first);
        (is_watcher, peers)
    }

    /// Returns the address of a request's arbiter; `None` if it is this gateway.
    pub(super) fn arbiter(&self, digest: Digest, own: &str) -> Option<SocketAddr> {
        let names = self.by_name.keys().map(String::as_str);
        let arbiter = arbiter(digest, names.chain([own]))?;
        self.by_name.get(arbiter).map(|peer| peer.address)
    }

    /// Returns the addresses of the peers, at most `count`, that keep the origin of a stream.
    pub(super) fn replicas(&self, stream: StreamId, count: usize) -> Vec<SocketAddr> {
        let names = self.by_name.keys().map(String::as_str);
        let names = replicas(stream, names, count).into_iter();
        let peers = names.filter_map(|name| self.by_name.get(name));
        peers.map(|peer| peer.address).collect()
    }

    /// Returns the address of the peer that writes the origins of this gateway's streams to the
    /// archive; `None` if it is this gateway.
    pub(super) fn archive_writer(&self, own: &str, count: usize) -> Option<SocketAddr> {
        if count > self.by_name.len() {
            return None;
        }
        let names = self.by_name.keys().map(String::as_str);
        let writer = writer(own, names, count);
        self.by_name.get(writer).map(|peer| peer.address)
    }

    /// Returns the names of the gateways of this one's zone, itself included, collectors first.
    fn ranked<'a>(&'a self, (name, placement): (&'a str, &'a Placement)) -> Vec<&'a str> {
        let names = self.zones.get(&placement.zone);
        let names = names.into_iter().flatten().map(String::as_str);
        let peers = names.filter_map(|name| Some((name, &self.by_name.get(name)?.placement)));
        rank_by_cpu(peers.chain([(name, placement)]))
    }
}
