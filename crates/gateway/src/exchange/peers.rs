//! The gateways that are registered.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use mulberryyoke_decide::aggregate::{COLLECTORS_PER_ZONE, Placement, name_hash, rank_by_cpu};
use mulberryyoke_decide::handoff::targets;
use mulberryyoke_decide::quarantine::arbiter;
use mulberryyoke_model::Digest;

/// Gateways that ask the key-value service: any two may be gone or cut off.
const WATCHERS: usize = 3;

/// Where a gateway takes messages, and what it runs on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Peer {
    pub(crate) address: SocketAddr,
    pub(crate) place: Placement,
}

impl Peer {
    /// Reads a registration: address, thousandths of a processor, and zone. One that has the
    /// address alone is of a gateway which takes no messages of this version's form.
    pub(crate) fn parse(value: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(value).ok()?;
        let mut fields = text.splitn(3, ' ');
        let address = fields.next()?.parse().ok()?;
        let thousandths = fields.next().and_then(|field| field.parse().ok());
        let place = Placement {
            zone: fields.next().unwrap_or_default().to_owned(),
            millicpus: thousandths.unwrap_or(0),
        };
        Some(Self { address, place })
    }

    /// Writes it as [`Peer::parse`] reads it.
    pub(crate) fn encode(&self) -> String {
        let Placement {
            zone,
            millicpus: thousandths,
        } = &self.place;
        format!("{} {thousandths} {zone}", self.address)
    }
}

/// The gateways that are registered, but for this one.
#[derive(Debug, Default)]
pub(super) struct Peers {
    by_name: HashMap<String, Peer>,
    /// Where connections are taken that are handed on, by name.
    handoffs: HashMap<String, SocketAddr>,
    /// Names by zone, those that collect first.
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
            let of_zone = zones.entry(&peer.place.zone).or_default();
            of_zone.push((name, &peer.place));
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

    /// Where gateways of a zone take connections from one that is behind with its work.
    pub(super) fn larger(&self, own: &Placement) -> Vec<SocketAddr> {
        let names = self.zones.get(&own.zone).into_iter().flatten();
        let known = names.filter_map(|name| {
            let address = *self.handoffs.get(name)?;
            Some((
                name_hash(name),
                (self.by_name.get(name)?.place.millicpus, address),
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

    /// Whether a gateway, this one, is among the collectors of its zone.
    pub(super) fn is_collector(&self, (name, place): (&str, &Placement)) -> bool {
        let ranked = self.ranked((name, place));
        ranked
            .into_iter()
            .take(COLLECTORS_PER_ZONE)
            .any(|of| of == name)
    }

    /// Where the collectors of a gateway's zone take messages, that gateway left out. If some
    /// are passed over, as they did not answer, those after them are named as well.
    pub(super) fn collectors(&self, own: (&str, &Placement), passed: usize) -> Vec<SocketAddr> {
        let ranked = self.ranked(own);
        let first = ranked.iter().take(COLLECTORS_PER_ZONE);
        let after = match passed % ranked.len() {
            0 => &[],
            passed => &ranked[passed..ranked.len().min(passed + COLLECTORS_PER_ZONE)],
        };
        let named = first
            .chain(after)
            .filter_map(|name| self.by_name.get(*name));
        let mut addresses: Vec<SocketAddr> = named.map(|peer| peer.address).collect();
        addresses.dedup();
        addresses
    }

    /// Where the collectors of all zones but one take messages.
    pub(super) fn collectors_elsewhere(&self, zone: &str) -> Vec<SocketAddr> {
        let zones = self.zones.iter().filter(|(of, _)| *of != zone);
        let names = zones.flat_map(|(_, names)| names.iter().take(COLLECTORS_PER_ZONE));
        let peers = names.filter_map(|name| self.by_name.get(name));
        peers.map(|peer| peer.address).collect()
    }

    /// Whether a gateway, this one, is one of the few that ask the key-value service, and
    /// where the others of these are.
    pub(super) fn watchers(&self, name: &str, place: &Placement) -> (bool, Vec<SocketAddr>) {
        let all = self.by_name.iter();
        let all = all.map(|(name, peer)| (name.as_str(), &peer.place));
        let mut ranked = rank_by_cpu(all.chain([(name, place)]));
        ranked.truncate(WATCHERS);
        let is_watcher = ranked.contains(&name);
        let peers = ranked.into_iter().filter_map(|name| self.by_name.get(name));
        let mut peers: Vec<SocketAddr> = peers.map(|peer| peer.address).collect();
        // The others spread over the watchers.
        let first = usize::try_from(name_hash(name) % WATCHERS as u64).unwrap_or(0);
        let first = first.min(peers.len());
        peers.rotate_left(first);
        (is_watcher, peers)
    }

    /// Where the gateway takes messages that decides about a request; `None` if that is this one.
    pub(super) fn arbiter(&self, digest: Digest, own: &str) -> Option<SocketAddr> {
        let names = self.by_name.keys().map(String::as_str);
        let arbiter = arbiter(digest, names.chain([own]))?;
        self.by_name.get(arbiter).map(|peer| peer.address)
    }

    /// The names of a gateway's zone, its own included, those that collect first.
    fn ranked<'a>(&'a self, (name, place): (&'a str, &'a Placement)) -> Vec<&'a str> {
        let names = self.zones.get(&place.zone);
        let names = names.into_iter().flatten().map(String::as_str);
        let peers = names.filter_map(|name| Some((name, &self.by_name.get(name)?.place)));
        rank_by_cpu(peers.chain([(name, place)]))
    }
}
