//! The peer routers, and the exchange with them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Attempt, Outcome, Revision, ServerId};
use mulberryyoke_platform::vm::Vm;
use mulberryyoke_wire::{Bytes, Member, Summary};
use parking_lot::RwLock;

use super::Fleet;
use super::peer::{Heard, Peer, context};
use super::standing::{Hearing, Standing};

/// A peer unheard for this many exchanges is suspect.
const SUSPECT_EXCHANGES: u32 = 5;

/// The peer routers by name.
#[derive(Default)]
pub(super) struct Peers {
    by_name: RwLock<BTreeMap<String, Arc<Peer>>>,
    bytes: Arc<Bytes>,
    fresh_for: RwLock<Duration>,
}

impl Peers {
    pub(super) fn open(bytes: Arc<Bytes>) -> Self {
        Self {
            bytes,
            ..Self::default()
        }
    }

    /// Takes in the routers of the VM list.
    pub(super) fn follow(&self, routers: &[Vm], own: &Member) {
        let mut peers = self.by_name.write();
        let listed = routers.iter().filter(|vm| vm.name != own.name);
        let mut kept = BTreeMap::new();
        for vm in listed {
            let held = peers.remove(&vm.name);
            let held = held.filter(|peer| peer.address == vm.control);
            let peer = held.unwrap_or_else(|| Arc::new(Peer::new(vm.name.clone(), vm.control)));
            kept.insert(vm.name.clone(), peer);
        }
        *peers = kept;
    }

    pub(super) fn all(&self) -> Vec<Arc<Peer>> {
        self.by_name.read().values().cloned().collect()
    }

    fn live(&self) -> Vec<Heard> {
        let fresh_for = *self.fresh_for.read();
        let heard = self.all().into_iter().filter_map(|peer| peer.heard());
        heard
            .filter(|heard| heard.at.elapsed() < fresh_for)
            .collect()
    }

    pub(super) fn members(&self) -> Vec<Member> {
        let live = self.live().into_iter();
        live.map(|heard| heard.member).collect()
    }

    /// Every peer in the VM list, whether it answered or not.
    pub(super) fn standings(&self) -> Vec<Standing> {
        let fresh_for = *self.fresh_for.read();
        let peers = self.all();
        let standings = peers.iter().map(|peer| Standing {
            name: peer.name.clone(),
            heard: peer.heard().map(|heard| Hearing {
                member: heard.member,
                revision: heard.revision,
                fresh: heard.at.elapsed() < fresh_for,
            }),
        });
        standings.collect()
    }

    pub(super) fn idle(&self) -> Vec<ServerId> {
        let live = self.live().into_iter();
        let idle: BTreeSet<ServerId> = live.flat_map(|heard| heard.idle).collect();
        idle.into_iter().collect()
    }

    pub(super) async fn outcome(&self, attempt: Attempt) -> Outcome {
        let of_origin = |peer: &Arc<Peer>| {
            let heard = peer.heard();
            heard.is_some_and(|heard| heard.member.incarnation == attempt.origin)
        };
        let Some(peer) = self.all().into_iter().find(of_origin) else {
            return Outcome::Unknown;
        };
        let Some(client) = peer.client(&self.bytes).await else {
            return Outcome::Unknown;
        };
        let answer = client.outcome(context(), attempt).await;
        answer.unwrap_or(Outcome::Unknown)
    }
}

/// Exchanges with every peer again and again.
pub(super) async fn exchange(fleet: Arc<Fleet>) {
    let interval = Duration::from_millis(fleet.settings.exchange_ms.max(1));
    *fleet.peers.fresh_for.write() = interval * SUSPECT_EXCHANGES;
    loop {
        let peers = fleet.peers.all();
        join_all(peers.iter().map(|peer| fleet.call(peer))).await;
        tokio::time::sleep(interval).await;
    }
}

impl Fleet {
    async fn call(&self, peer: &Peer) {
        let Some(client) = peer.client(&self.bytes).await else {
            return;
        };
        match client.exchange(context(), self.summary()).await {
            Ok(summary) => {
                let revision = summary.revision;
                self.hear(summary);
                self.catch_up(peer, revision).await;
            }
            Err(_) => peer.disconnect().await,
        }
    }

    /// Fetches what a peer has accepted and this router has not.
    async fn catch_up(&self, peer: &Peer, revision: Revision) {
        let held = self.store.config().revision;
        if revision <= held {
            return;
        }
        let Some(client) = peer.client(&self.bytes).await else {
            return;
        };
        if let Ok(changes) = client.changes(context(), held).await {
            self.store.apply(changes);
        }
    }

    pub(super) fn summary(&self) -> Summary {
        Summary {
            from: self.member.clone(),
            revision: self.store.config().revision,
            reports: self.ledger.lock().reports(),
            idle: self.idle.lock().clone(),
        }
    }

    pub(super) fn hear(&self, summary: Summary) {
        let peers = self.peers.all();
        let peer = peers.iter().find(|peer| peer.name == summary.from.name);
        if let Some(peer) = peer {
            let earlier = peer.heard();
            let life = earlier.map(|heard| heard.member.incarnation);
            if life != Some(summary.from.incarnation) {
                log!(self.logger, Event::PeerUp, "peer" => &peer.name);
            }
            peer.set_heard(Heard {
                member: summary.from,
                at: Instant::now(),
                revision: summary.revision,
                idle: summary.idle,
            });
        }
        let mut ledger = self.ledger.lock();
        for (origin, report) in &summary.reports {
            ledger.merge(*origin, report);
        }
    }
}
