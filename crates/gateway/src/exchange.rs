//! Load exchange between gateways: load per server, customers' usage, and prompt prefixes that
//! servers have cached.

mod fleet_source;
mod inner;
mod peers;
mod prefix_queue;
mod registration;
mod run;
mod speeds;

use std::net::SocketAddr;
use std::sync::Arc;

use mulberryyoke_decide::aggregate::{Placement, interval_ms};
use mulberryyoke_decide::engine::Prompt;
use mulberryyoke_decide::handoff::candidates;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Digest, Incarnation, ServerId, StreamId};
use mulberryyoke_wire::aggregate::{Message, Prefill, Scope};
use parking_lot::Mutex;

use self::inner::{Inner, Outgoing, local_state};
pub(crate) use self::peers::Peer;
pub(crate) use self::registration::{HANDOFFS_PREFIX, PEERS_PREFIX, register};
pub(crate) use self::run::run;
use crate::core::Core;
use crate::{clock, notice, quarantine};

/// State that this gateway exchanges with its peers.
#[derive(Debug)]
pub(crate) struct Exchange {
    origin: Incarnation,
    inner: Mutex<Inner>,
}

impl Exchange {
    pub(crate) fn new(name: &str, placement: Placement) -> Self {
        let origin = Incarnation(rand::random());
        let inner = Inner::new(origin, name, placement);
        Self {
            origin,
            inner: Mutex::new(inner),
        }
    }

    /// Adds or updates a peer; `None` removes it.
    pub(crate) fn set_peer(&self, name: &str, peer: Option<Peer>) {
        self.inner.lock().set_peer(name, peer);
    }

    /// Sets the address at which a peer accepts handed-off connections; `None` removes it.
    pub(crate) fn set_handoff(&self, name: &str, address: Option<SocketAddr>) {
        self.inner.lock().set_handoff(name, address);
    }

    /// Returns whether a larger gateway of the zone accepts handed-off connections.
    pub(crate) fn has_handoff_target(&self) -> bool {
        !self.inner.lock().handoff_targets.is_empty()
    }

    /// Returns the addresses to try for handing off one connection, in order.
    pub(crate) fn handoff_targets(&self) -> Vec<SocketAddr> {
        candidates(
            &self.inner.lock().handoff_targets,
            rand::random_range(0..usize::MAX),
        )
        .collect()
    }

    /// Returns whether this gateway is one of the few that watch the key-value service, and the
    /// addresses of the others. Gateways that know the same peers choose the same watchers.
    pub(crate) fn watchers(&self) -> (bool, Vec<SocketAddr>) {
        let inner = self.inner.lock();
        inner.peers.watchers(&inner.name, &inner.placement)
    }

    /// Returns the address of the gateway that decides whether a suspect request may run; `None`
    /// if it is this one.
    pub(crate) fn arbiter(&self, digest: Digest) -> Option<SocketAddr> {
        let inner = self.inner.lock();
        inner.peers.arbiter(digest, &inner.name)
    }

    /// Returns the addresses of the gateways, at most `count` and without this one, that keep the
    /// origin of a stream.
    pub(crate) fn replicas(&self, stream: StreamId, count: usize) -> Vec<SocketAddr> {
        self.inner.lock().peers.replicas(stream, count)
    }

    /// Returns the address of the gateway that writes the origins of this one's streams to the
    /// archive, if `count` gateways write; `None` if it is this one.
    pub(crate) fn archive_writer(&self, count: usize) -> Option<SocketAddr> {
        let inner = self.inner.lock();
        inner.peers.archive_writer(&inner.name, count)
    }

    /// Returns the number of known gateways, including this one.
    pub(crate) fn gateway_count(&self) -> usize {
        self.inner.lock().peers.len() + 1
    }

    /// Records that a prompt was sent to a server, so that peers learn of its shared prefixes.
    pub(crate) fn record_prompt(&self, server: ServerId, prompt: &Prompt, is_new: bool) {
        let Some(key) = prompt.affinity_key() else {
            return;
        };
        let mut inner = self.inner.lock();
        if inner.peers.len() > 0 {
            let prefill = || Prefill {
                server,
                shared: prompt.shared.to_vec(),
            };
            inner
                .prefixes
                .record(key, prefill, is_new, server, clock::now_ms());
        }
    }

    /// Returns the interval after a round of `packets` packets, in milliseconds.
    fn interval_ms(&self, packets: usize) -> u64 {
        let inner = self.inner.lock();
        interval_ms(packets, inner.placement.cpus(), inner.is_collector())
    }

    /// Returns the messages of the next round.
    fn messages(&self, core: &Core) -> Vec<Outgoing> {
        let mut inner = self.inner.lock();
        let now = clock::now_ms();
        inner.prefixes.expire(now);
        let state = local_state(core);
        inner.sequence = inner.sequence.wrapping_add(1);
        let sequence = inner.sequence;
        inner.aggregate.record_own(sequence, state.clone());
        let mut messages = inner.own_messages(self.origin, sequence, state, now);
        if inner.is_collector() {
            messages.extend(inner.sum_messages(self.origin, now));
        }
        drop(inner);
        let (suspects, leaving) = (
            core.quarantine.updates(),
            core.registry.instances.announcements(),
        );
        let versions = core.streams.versions_for_peers();
        let parts = core.quarantine.parts.updates();
        let own_speeds = speeds::for_peers(core, false);
        let all_speeds = if messages.iter().all(|(message, _)| is_own(message)) {
            Vec::new()
        } else {
            speeds::for_peers(core, true)
        };
        for (message, _) in &mut messages {
            let speeds = if is_own(message) {
                &own_speeds
            } else {
                &all_speeds
            };
            message.speeds.clone_from(speeds);
            message.suspects.clone_from(&suspects);
            message.leaving.clone_from(&leaving);
            message.versions.clone_from(&versions);
            message.parts.clone_from(&parts);
        }
        messages
    }

    /// Merges a peer's message and applies what it changes.
    fn receive(&self, core: &Arc<Core>, message: &Message, from: SocketAddr) {
        if message.origin == self.origin {
            return;
        }
        quarantine::receive(core, &message.suspects);
        quarantine::receive_parts(core, &message.parts);
        notice::receive(core, &message.leaving);
        speeds::receive(core, &message.speeds);
        core.streams.receive_versions(&message.versions);
        let now = clock::now_ms();
        let mut inner = self.inner.lock();
        let is_known = inner.aggregate.knows(message.origin);
        if !inner.receive(message, from, now) {
            return;
        }
        inner.is_dirty = true;
        if !is_known {
            log!(core.logger, Event::PeerUp, "peer" => message.origin.0, "address" => from.to_string());
            core.quarantine.tell_again();
        }
        inner.apply_if_due(core, now);
        drop(inner);
        core.registry.room.notify();
        for prefill in &message.prefills {
            if let Some(backend) = core.registry.get_by_id(prefill.server) {
                backend.engine().record_peer_prefill(&prefill.shared, now);
            }
        }
    }

    /// Removes the state of peers that have been silent for too long.
    fn expire(&self, core: &Core) {
        let now = clock::now_ms();
        let mut inner = self.inner.lock();
        for origin in inner.aggregate.expire(now) {
            inner.is_dirty = true;
            log!(core.logger, Event::PeerDown, "peer" => origin.0);
        }
        inner.expire();
        inner.apply_if_due(core, now);
    }
}

/// Whether a message carries the state of its sender alone.
const fn is_own(message: &Message) -> bool {
    matches!(message.scope, Scope::Node { .. })
}
