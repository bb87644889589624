//! The other routers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream;
use mulberryyoke_decide::member::{Limits, Neighbors, Router, Table};
use mulberryyoke_model::{Attempt, Outcome, Relation, ServerId};
use mulberryyoke_platform::vm::{Role, Vm};
use mulberryyoke_wire::{ByteCounter, Member, Summary};
use parking_lot::{Mutex, RwLock};

use super::peer::{Heard, Peer, context};
use super::peer_status::{PeerStatus, PeerSummary};
use crate::clock;

/// Routers asked at once about a request whose origin is not known.
const ASKED_AT_ONCE: usize = 16;

/// The other routers, by name.
pub(super) struct Peers {
    by_name: RwLock<BTreeMap<String, Arc<Peer>>>,
    table: Mutex<Table>,
    bytes: Arc<ByteCounter>,
    fresh_for: Duration,
}

impl Peers {
    pub(super) fn open(own: Router, limits: Limits, bytes: Arc<ByteCounter>) -> Self {
        Self {
            by_name: RwLock::default(),
            table: Mutex::new(Table::new(own, limits)),
            bytes,
            fresh_for: Duration::from_millis(limits.suspect_ms),
        }
    }

    /// Takes in the VM list.
    pub(super) fn list(&self, vms: Vec<Vm>) {
        let routers: Vec<Vm> = vms.into_iter().filter(|v| v.role == Role::Router).collect();
        let members = routers.iter().map(|vm| Router {
            name: vm.name.clone(),
            region: vm.region.clone(),
            zone: vm.zone.clone(),
        });
        let now = clock::now();
        let mut table = self.table.lock();
        table.set_listed(members.collect(), now);
        let known: BTreeSet<String> = table.alive_names(now).into_iter().collect();
        drop(table);
        let mut by_name = self.by_name.write();
        let listed: BTreeSet<&String> = routers.iter().map(|vm| &vm.name).collect();
        by_name.retain(|name, _| listed.contains(name) || known.contains(name));
        for vm in &routers {
            let held = by_name.get(&vm.name);
            if held.is_none_or(|peer| peer.address != vm.control) {
                let peer = Peer::new(vm.name.clone(), vm.control);
                by_name.insert(vm.name.clone(), Arc::new(peer));
            }
        }
    }

    pub(super) fn get(&self, name: &str) -> Option<Arc<Peer>> {
        self.by_name.read().get(name).cloned()
    }

    pub(super) fn all(&self) -> Vec<Arc<Peer>> {
        self.by_name.read().values().cloned().collect()
    }

    /// Other routers that are children of this one.
    pub(super) fn children(&self) -> Vec<Arc<Peer>> {
        let is_child = |peer: &Arc<Peer>| {
            let heard = peer.heard().filter(|heard| self.is_fresh(heard));
            heard.is_some_and(|heard| heard.relation == Some(Relation::Child))
        };
        self.all().into_iter().filter(is_child).collect()
    }

    /// With whom to exchange.
    pub(super) fn plan(&self) -> Neighbors {
        self.table.lock().neighbors(clock::now())
    }

    pub(super) fn is_watcher(&self) -> bool {
        self.table.lock().is_watcher(clock::now())
    }

    /// Names of all routers that are not suspect.
    pub(super) fn names(&self) -> Vec<String> {
        self.table.lock().alive_names(clock::now())
    }

    /// Notes a failed call; returns whether that made the router suspect.
    pub(super) fn fail(&self, name: &str) -> bool {
        self.table.lock().record_failure(name, clock::now())
    }

    /// Notes what a router says. Returns it, and whether it is heard anew.
    pub(super) fn hear(&self, summary: &Summary) -> Option<(Arc<Peer>, bool)> {
        let peer = self.get(&summary.from.name)?;
        self.table.lock().record_contact(&peer.name, clock::now());
        let earlier = peer.replace_heard(Heard {
            member: summary.from.clone(),
            at: std::time::Instant::now(),
            revision: summary.revision,
            idle: summary.idle.clone(),
            relation: summary.statement.as_ref().map(|s| s.relation),
        });
        let is_known = earlier.is_some_and(|earlier| {
            earlier.member.incarnation == summary.from.incarnation && self.is_fresh(&earlier)
        });
        Some((peer, !is_known))
    }

    pub(super) fn members(&self) -> Vec<Member> {
        let live = self.live().into_iter();
        live.map(|heard| heard.member).collect()
    }

    /// Every other router in the VM list, whether it answered or not.
    pub(super) fn peer_statuses(&self) -> Vec<PeerStatus> {
        let peers = self.all();
        let peer_statuses = peers.iter().map(|peer| PeerStatus {
            name: peer.name.clone(),
            last_summary: peer.heard().map(|heard| PeerSummary {
                is_fresh: self.is_fresh(&heard),
                member: heard.member,
                revision: heard.revision,
            }),
        });
        peer_statuses.collect()
    }

    pub(super) fn idle(&self) -> Vec<ServerId> {
        let live = self.live().into_iter();
        let idle: BTreeSet<ServerId> = live.flat_map(|heard| heard.idle).collect();
        idle.into_iter().collect()
    }

    /// What became of a request, asked of the life that took it, or, if that life is
    /// not known, of all routers not heard yet.
    pub(super) async fn outcome(&self, attempt: Attempt) -> Outcome {
        let mut unheard = Vec::new();
        for peer in self.all() {
            match peer.heard() {
                Some(heard) if heard.member.incarnation == attempt.origin => {
                    return self.ask(&peer, attempt).await;
                }
                Some(_) => {}
                None => unheard.push(peer),
            }
        }
        self.ask_all(unheard, attempt).await
    }

    async fn ask_all(&self, peers: Vec<Arc<Peer>>, attempt: Attempt) -> Outcome {
        let asked = peers
            .into_iter()
            .map(|peer| async move { self.ask(&peer, attempt).await });
        let mut answers = stream::iter(asked).buffer_unordered(ASKED_AT_ONCE);
        while let Some(outcome) = answers.next().await {
            if outcome != Outcome::Unknown {
                return outcome;
            }
        }
        Outcome::Unknown
    }

    async fn ask(&self, peer: &Peer, attempt: Attempt) -> Outcome {
        let Some(client) = peer.client(&self.bytes).await else {
            return Outcome::Unknown;
        };
        let answer = client.outcome(context(), attempt).await;
        answer.unwrap_or(Outcome::Unknown)
    }

    fn live(&self) -> Vec<Heard> {
        let peers = self.all().into_iter();
        let heard = peers.filter_map(|peer| peer.heard());
        heard.filter(|heard| self.is_fresh(heard)).collect()
    }

    fn is_fresh(&self, heard: &Heard) -> bool {
        heard.at.elapsed() < self.fresh_for
    }
}
