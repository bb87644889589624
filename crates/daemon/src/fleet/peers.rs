//! The set of the other routers.

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

use super::peer::{LastSummary, Peer, call_context};
use super::peer_status::{PeerStatus, PeerSummary};
use crate::clock;

/// Maximum concurrent queries about a request whose origin is unknown.
const MAX_CONCURRENT_QUERIES: usize = 16;

/// The other routers, by name.
pub(super) struct Peers {
    by_name: RwLock<BTreeMap<String, Arc<Peer>>>,
    table: Mutex<Table>,
    bytes: Arc<ByteCounter>,
    fresh_for: Duration,
}

impl Peers {
    pub(super) fn new(own: Router, limits: Limits, bytes: Arc<ByteCounter>) -> Self {
        Self {
            by_name: RwLock::default(),
            table: Mutex::new(Table::new(own, limits)),
            bytes,
            fresh_for: Duration::from_millis(limits.suspect_ms),
        }
    }

    /// Updates the routers from a VM list. Unlisted ones are kept while they are alive.
    pub(super) fn set_listed(&self, vms: Vec<Vm>) {
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
            let existing = by_name.get(&vm.name);
            if existing.is_none_or(|peer| peer.address != vm.control) {
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
            let summary = peer.last_summary().filter(|summary| self.is_fresh(summary));
            summary.is_some_and(|summary| summary.relation == Some(Relation::Child))
        };
        self.all().into_iter().filter(is_child).collect()
    }

    /// The routers to exchange usage with.
    pub(super) fn neighbors(&self) -> Neighbors {
        self.table.lock().neighbors(clock::now())
    }

    pub(super) fn is_watcher(&self) -> bool {
        self.table.lock().is_watcher(clock::now())
    }

    /// Names of all routers that are not suspect.
    pub(super) fn names(&self) -> Vec<String> {
        self.table.lock().alive_names(clock::now())
    }

    /// Records a failed call; returns whether that made the router suspect.
    pub(super) fn record_failure(&self, name: &str) -> bool {
        self.table.lock().record_failure(name, clock::now())
    }

    /// Records a summary. Returns its sender, and whether the sender is a new instance or
    /// had no recent summary.
    pub(super) fn receive(&self, summary: &Summary) -> Option<(Arc<Peer>, bool)> {
        let peer = self.get(&summary.from.name)?;
        self.table.lock().record_contact(&peer.name, clock::now());
        let previous = peer.replace_last_summary(LastSummary {
            member: summary.from.clone(),
            received_at: std::time::Instant::now(),
            revision: summary.revision,
            idle: summary.idle.clone(),
            relation: summary.statement.as_ref().map(|s| s.relation),
        });
        let is_known = previous.is_some_and(|previous| {
            previous.member.incarnation == summary.from.incarnation && self.is_fresh(&previous)
        });
        Some((peer, !is_known))
    }

    pub(super) fn members(&self) -> Vec<Member> {
        let summaries = self.fresh_summaries().into_iter();
        summaries.map(|summary| summary.member).collect()
    }

    /// Status of every known router, reachable or not.
    pub(super) fn peer_statuses(&self) -> Vec<PeerStatus> {
        let peers = self.all();
        let peer_statuses = peers.iter().map(|peer| PeerStatus {
            name: peer.name.clone(),
            last_summary: peer.last_summary().map(|summary| PeerSummary {
                is_fresh: self.is_fresh(&summary),
                member: summary.member,
                revision: summary.revision,
            }),
        });
        peer_statuses.collect()
    }

    pub(super) fn idle(&self) -> Vec<ServerId> {
        let summaries = self.fresh_summaries().into_iter();
        let idle: BTreeSet<ServerId> = summaries.flat_map(|summary| summary.idle).collect();
        idle.into_iter().collect()
    }

    /// Outcome of a request, queried from the instance that received it or, if that is
    /// unknown, from all routers without a summary yet.
    pub(super) async fn outcome(&self, attempt: Attempt) -> Outcome {
        let mut unidentified = Vec::new();
        for peer in self.all() {
            match peer.last_summary() {
                Some(summary) if summary.member.incarnation == attempt.origin => {
                    return self.query(&peer, attempt).await;
                }
                Some(_) => {}
                None => unidentified.push(peer),
            }
        }
        self.query_all(unidentified, attempt).await
    }

    async fn query_all(&self, peers: Vec<Arc<Peer>>, attempt: Attempt) -> Outcome {
        let queries = peers
            .into_iter()
            .map(|peer| async move { self.query(&peer, attempt).await });
        let mut answers = stream::iter(queries).buffer_unordered(MAX_CONCURRENT_QUERIES);
        while let Some(outcome) = answers.next().await {
            if outcome != Outcome::Unknown {
                return outcome;
            }
        }
        Outcome::Unknown
    }

    async fn query(&self, peer: &Peer, attempt: Attempt) -> Outcome {
        let Some(client) = peer.client(&self.bytes).await else {
            return Outcome::Unknown;
        };
        let answer = client.outcome(call_context(), attempt).await;
        answer.unwrap_or(Outcome::Unknown)
    }

    fn fresh_summaries(&self) -> Vec<LastSummary> {
        let peers = self.all().into_iter();
        let summaries = peers.filter_map(|peer| peer.last_summary());
        summaries.filter(|summary| self.is_fresh(summary)).collect()
    }

    fn is_fresh(&self, summary: &LastSummary) -> bool {
        summary.received_at.elapsed() < self.fresh_for
    }
}
