//! What gateways tell each other: what each has at the servers, what customers asked of it,
//! and which shared prompt parts it had servers read.

mod announce;
mod inner;
mod peers;
mod reads;
mod run;
mod upstream;

use std::net::SocketAddr;

use mulberryyoke_decide::aggregate::{Placement, interval_ms};
use mulberryyoke_decide::engine::Prompt;
use mulberryyoke_decide::handoff::candidates;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Digest, Incarnation, ServerId};
use mulberryyoke_wire::aggregate::{Message, Prefill};
use parking_lot::Mutex;

pub(crate) use self::announce::{HANDOFFS_PREFIX, PEERS_PREFIX, announce};
use self::inner::{Inner, Outgoing, own};
pub(crate) use self::peers::Peer;
pub(crate) use self::run::run;
use crate::core::Core;
use crate::{clock, notice, quarantine};

/// What this gateway exchanges with its peers.
#[derive(Debug)]
pub(crate) struct Exchange {
    origin: Incarnation,
    inner: Mutex<Inner>,
}

impl Exchange {
    pub(crate) fn new(name: &str, place: Placement) -> Self {
        let origin = Incarnation(rand::random());
        let inner = Inner::new(origin, name, place);
        Self {
            origin,
            inner: Mutex::new(inner),
        }
    }

    /// Notes where a peer is and takes messages, or that it is gone.
    pub(crate) fn set_peer(&self, name: &str, peer: Option<Peer>) {
        self.inner.lock().set_peer(name, peer);
    }

    /// Notes where a peer takes callers' connections that are handed on, or that it takes none.
    pub(crate) fn set_handoff(&self, name: &str, address: Option<SocketAddr>) {
        self.inner.lock().set_handoff(name, address);
    }

    /// Whether a larger gateway of the zone takes connections that are handed on.
    pub(crate) fn has_larger(&self) -> bool {
        !self.inner.lock().larger.is_empty()
    }

    /// Where the larger gateways of the zone take connections that are asked for one, in their
    /// order.
    pub(crate) fn larger(&self) -> Vec<SocketAddr> {
        candidates(&self.inner.lock().larger, rand::random_range(0..usize::MAX)).collect()
    }

    /// Whether this gateway is one of the few that ask the key-value service, and
    /// where the others of these are. All gateways that know of each other agree.
    pub(crate) fn watchers(&self) -> (bool, Vec<SocketAddr>) {
        let inner = self.inner.lock();
        inner.peers.watchers(&inner.name, &inner.place)
    }

    /// Where the gateway takes messages that decides whether a copy of a request under suspicion
    /// may run; `None` if this one does.
    pub(crate) fn arbiter(&self, digest: Digest) -> Option<SocketAddr> {
        let inner = self.inner.lock();
        inner.peers.arbiter(digest, &inner.name)
    }

    /// Number of gateways that are known, this one included.
    pub(crate) fn gateway_count(&self) -> usize {
        self.inner.lock().peers.len() + 1
    }

    /// Notes that a server is given a prompt, to tell its shared parts.
    pub(crate) fn record_prompt(&self, server: ServerId, prompt: &Prompt, is_new: bool) {
        let Some(key) = prompt.affinity_key() else {
            return;
        };
        let mut inner = self.inner.lock();
        if inner.peers.len() > 0 {
            let read = || Prefill {
                server,
                shared: prompt.shared.to_vec(),
            };
            inner.reads.note(key, read, is_new, server, clock::now_ms());
        }
    }

    /// Time from a round of so many packets to the next, in milliseconds.
    fn interval_ms(&self, packets: usize) -> u64 {
        let inner = self.inner.lock();
        interval_ms(packets, inner.place.cpus(), inner.collects())
    }

    /// The messages of a round.
    fn round(&self, core: &Core) -> Vec<Outgoing> {
        let mut inner = self.inner.lock();
        let now = clock::now_ms();
        inner.reads.forget(now);
        let own = own(core);
        inner.number = inner.number.wrapping_add(1);
        let number = inner.number;
        inner.aggregate.record_own(number, own.clone());
        let mut round = inner.own_messages(self.origin, number, own, now);
        if inner.collects() {
            round.extend(inner.sums(self.origin, now));
        }
        drop(inner);
        let (suspects, leaving) = (
            core.quarantine.updates(),
            core.registry.instances.announcements(),
        );
        for (message, _) in &mut round {
            message.suspects.clone_from(&suspects);
            message.leaving.clone_from(&leaving);
        }
        round
    }

    fn hear(&self, core: &Core, message: &Message, from: SocketAddr) {
        if message.origin == self.origin {
            return;
        }
        quarantine::receive(core, &message.suspects);
        notice::receive(core, &message.leaving);
        let now = clock::now_ms();
        let mut inner = self.inner.lock();
        let is_known = inner.aggregate.knows(message.origin);
        if !inner.take(message, from, now) {
            return;
        }
        inner.is_changed = true;
        if !is_known {
            log!(core.logger, Event::PeerUp, "peer" => message.origin.0, "address" => from.to_string());
        }
        inner.count_if_due(core, now);
        drop(inner);
        for read in &message.prefills {
            if let Some(backend) = core.registry.get_by_id(read.server) {
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
            log!(core.logger, Event::PeerDown, "peer" => origin.0);
        }
        inner.forget();
        inner.count_if_due(core, now);
    }
}
