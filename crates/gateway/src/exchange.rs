//! What gateways tell each other: what each has at the servers, and which shared
//! prompt parts it had them read.

mod announce;
mod peer;
mod run;

use std::collections::HashMap;
use std::net::SocketAddr;

use mulberryyoke_decide::engine::{Load, Prompt};
use mulberryyoke_decide::share::Flow;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{CustomerId, Incarnation, ServerId};
use mulberryyoke_wire::beat::{Beat, Customer, Read};
use parking_lot::Mutex;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

pub(crate) use self::announce::{PREFIX, announce};
use self::peer::Peer;
pub(crate) use self::run::run;
use crate::clock;
use crate::core::Core;
use crate::round::whole;

/// Time without a beat after which what a peer had at the servers no longer
/// counts, in milliseconds.
const SILENT_MS: u64 = 600;

/// Time after which a shared part that is still in use is told again, in
/// milliseconds: a lost datagram does no lasting harm.
const TELL_AGAIN_MS: u64 = 2_000;

/// Time between tellings of what customers asked and were given, in milliseconds:
/// short beside the seconds over which it is counted.
const CUSTOMERS_MS: u64 = 100;

/// Time between additions of all that peers tell, in milliseconds: servers that
/// registered between two beats are counted right again.
const RECOUNT_MS: u64 = 200;

/// Gateways that ask the key-value service: any two may be gone or cut off.
const WATCHERS: usize = 3;

/// Reads that wait to be told; more are left out.
const MOST_READS: usize = 64;

/// What this gateway exchanges with its peers.
#[derive(Debug)]
pub(crate) struct Exchange {
    origin: Incarnation,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Addresses of peers by name.
    addresses: HashMap<String, SocketAddr>,
    peers: HashMap<Incarnation, Peer>,
    reads: Vec<Read>,
    told: HashMap<(ServerId, u64), Instant>,
    number: u32,
    customers_told: Option<Instant>,
    /// When what peers tell was last added up.
    counted: Option<Instant>,
}

impl Exchange {
    pub(crate) fn new() -> Self {
        Self {
            origin: Incarnation(rand::random()),
            inner: Mutex::default(),
        }
    }

    /// Notes where a peer takes beats, or that it is gone.
    pub(crate) fn set_address(&self, name: &str, address: Option<SocketAddr>) {
        let addresses = &mut self.inner.lock().addresses;
        match address {
            Some(address) => addresses.insert(name.to_owned(), address),
            None => addresses.remove(name),
        };
    }

    /// Whether this gateway is one of the few that ask the key-value service, and
    /// where the others of these are. All gateways that know of each other agree.
    pub(crate) fn watchers(&self, name: &str) -> (bool, Vec<SocketAddr>) {
        let inner = self.inner.lock();
        let mut ranked: Vec<(u64, Option<SocketAddr>)> = inner
            .addresses
            .iter()
            .map(|(name, address)| (rank(name), Some(*address)))
            .collect();
        ranked.push((rank(name), None));
        ranked.sort_unstable();
        ranked.truncate(WATCHERS);
        let is_watcher = ranked.iter().any(|(_, address)| address.is_none());
        let mut peers: Vec<SocketAddr> = ranked.into_iter().filter_map(|(_, peer)| peer).collect();
        // The others spread over the watchers.
        let first = usize::try_from(rank(name) % WATCHERS as u64).unwrap_or(0);
        let first = first.min(peers.len());
        peers.rotate_left(first);
        (is_watcher, peers)
    }

    /// Number of gateways that are known, this one included.
    pub(crate) fn gateways(&self) -> usize {
        self.inner.lock().addresses.len() + 1
    }

    /// Notes that a server is given a prompt, to tell its shared parts.
    pub(crate) fn note(&self, server: ServerId, prompt: &Prompt, is_new: bool) {
        let Some(key) = prompt.home() else {
            return;
        };
        let now = Instant::now();
        let mut inner = self.inner.lock();
        if inner.addresses.is_empty() || inner.reads.len() >= MOST_READS {
            return;
        }
        let told = inner.told.get(&(server, key));
        let is_told = told.is_some_and(|at| clock::between_ms(*at, now) < TELL_AGAIN_MS);
        if is_told && !is_new {
            return;
        }
        inner.told.insert((server, key), now);
        inner.reads.push(Read {
            server,
            shared: prompt.shared.to_vec(),
        });
    }

    fn take_beat(&self, core: &Core) -> (Beat, Vec<SocketAddr>) {
        let mut inner = self.inner.lock();
        inner.number = inner.number.wrapping_add(1);
        let now = Instant::now();
        inner
            .told
            .retain(|_, at| clock::between_ms(*at, now) < TELL_AGAIN_MS);
        let told = inner.customers_told;
        let customers = if told.is_none_or(|at| clock::between_ms(at, now) >= CUSTOMERS_MS) {
            inner.customers_told = Some(now);
            customers(core)
        } else {
            Vec::new()
        };
        let all = core.roster.all();
        let servers = all.iter().filter_map(|backend| backend.told());
        let beat = Beat {
            origin: self.origin,
            number: inner.number,
            servers: servers.collect(),
            reads: std::mem::take(&mut inner.reads),
            customers,
        };
        (beat, inner.addresses.values().copied().collect())
    }

    fn hear(&self, core: &Core, beat: &Beat) {
        if beat.origin == self.origin {
            return;
        }
        let now = Instant::now();
        let mut inner = self.inner.lock();
        let is_new = !inner.peers.contains_key(&beat.origin);
        let peer = inner.peers.entry(beat.origin).or_default();
        let Some(mut before) = peer.hear(beat, now) else {
            return;
        };
        if is_new {
            log!(core.logger, Event::PeerUp, "peer" => beat.origin.0);
        }
        for server in &beat.servers {
            if let Some(backend) = core.roster.by_id(server.id) {
                let sent = peer.sent(server);
                let mut engine = backend.engine.lock();
                engine.recent.add(sent, clock::now_ms());
                engine.cache.read(sent);
                engine
                    .others
                    .take(before.remove(&server.id).unwrap_or_default());
                engine.others.add(server.load);
            }
        }
        for (server, load) in before {
            if let Some(backend) = core.roster.by_id(server) {
                backend.engine.lock().others.take(load);
            }
        }
        for read in &beat.reads {
            if let Some(backend) = core.roster.by_id(read.server) {
                backend.engine.lock().cache.insert(&read.shared);
            }
        }
    }

    /// Stops counting peers that are silent.
    fn expire(&self, core: &Core) {
        let now = Instant::now();
        let mut inner = self.inner.lock();
        let before = inner.peers.len();
        inner.peers.retain(|origin, peer| {
            let is_heard = peer.age_ms(now) < SILENT_MS;
            if !is_heard {
                log!(core.logger, Event::PeerDown, "peer" => origin.0);
            }
            is_heard
        });
        let counted = inner.counted;
        let is_due = counted.is_none_or(|at| clock::between_ms(at, now) >= RECOUNT_MS);
        if is_due || inner.peers.len() != before {
            inner.counted = Some(now);
            inner.recount(core);
            inner.recount_customers(core);
        }
    }
}

/// What customers asked of this gateway and were given by it.
fn customers(core: &Core) -> Vec<Customer> {
    let shares = core.shares.lock();
    let customers = shares.own().map(|(id, flow)| Customer {
        id,
        asked: whole(flow.asked),
        given: whole(flow.given),
    });
    customers.collect()
}

impl Inner {
    /// Adds up what customers asked of peers and were given by them.
    fn recount_customers(&self, core: &Core) {
        let mut sums: HashMap<CustomerId, Flow> = HashMap::new();
        for (customer, flow) in self.peers.values().flat_map(Peer::customers) {
            let sum = sums.entry(customer).or_default();
            sum.asked += flow.asked;
            sum.given += flow.given;
        }
        core.shares.lock().set_others(&sums);
    }

    /// Adds up what peers have at the servers.
    fn recount(&self, core: &Core) {
        for backend in core.roster.all() {
            let mut sum = Load::default();
            for peer in self.peers.values() {
                sum.add(peer.load(backend.server.id));
            }
            backend.engine.lock().others = sum;
        }
    }
}

fn rank(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
