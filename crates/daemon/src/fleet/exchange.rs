//! Periodic exchange with other routers: usage, liveness, idle servers and
//! configuration revisions.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use metrics::{counter, gauge};
use mulberryyoke_decide::exchange::Limits;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::Relation;
use mulberryyoke_wire::Summary;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::Fleet;
use super::peer::{Peer, call_context, instance};
use crate::clock;

/// Bandwidth of the counters to all other routers, in bytes per second.
const BYTES_PER_SECOND: u64 = 4_096;

/// Mean encoded size of a counter, in bytes.
const ENTRY_BYTES: u64 = 14;

/// Minimum limit on the counters in a message.
const MIN_ENTRIES: u64 = 32;

/// Rounds between two probes of a suspect router.
const PROBE_ROUNDS: u64 = 5;

/// Intervals of silence after which a router calls a peer that should have called it.
const SILENT_INTERVALS: u32 = 2;

/// Delay in which configuration changes are batched into one round, in milliseconds.
const BATCH_DELAY_MS: u64 = 20;

/// Timeout of the first exchange, in milliseconds.
const FIRST_EXCHANGE_TIMEOUT_MS: u64 = 2_500;

/// Minimum of [`Limits::horizon_ms`], in milliseconds.
const MIN_HORIZON_MS: u64 = 5_000;

/// Minimum of [`Limits::horizon_ms`], in exchange intervals.
const HORIZON_INTERVALS: u64 = 3;

/// Runs exchange rounds until stopped.
pub(super) async fn run(fleet: Arc<Fleet>) {
    fleet.first_listing.cancelled().await;
    let first = fleet.targets(0, true);
    let calls = first
        .iter()
        .map(|(peer, relation)| fleet.call(peer, *relation));
    let _ = timeout(
        Duration::from_millis(FIRST_EXCHANGE_TIMEOUT_MS),
        join_all(calls),
    )
    .await;
    fleet.first_exchange.cancel();
    let mut revision = fleet.store.watch();
    let mut next = Instant::now();
    let mut config_changed = false;
    for round in 1.. {
        fleet.begin_round();
        for (peer, relation) in fleet.targets(round, config_changed) {
            let fleet = Arc::clone(&fleet);
            fleet.spawn_task(call(Arc::clone(&fleet), peer, relation));
        }
        if !config_changed || Instant::now() >= next {
            next = Instant::now() + fleet.interval();
        }
        tokio::select! {
            () = sleep_until(next) => config_changed = false,
            Ok(()) = revision.changed() => {
                sleep(Duration::from_millis(BATCH_DELAY_MS)).await;
                revision.mark_unchanged();
                config_changed = true;
            }
        }
    }
}

/// Relation of the caller to the called router; `None` for a liveness probe.
type CallerRelation = Option<Relation>;

async fn call(fleet: Arc<Fleet>, peer: Arc<Peer>, relation: CallerRelation) {
    fleet.call(&peer, relation).await;
}

impl Fleet {
    fn interval(&self) -> Duration {
        Duration::from_millis(self.settings.exchange_ms.max(1))
    }

    fn begin_round(&self) {
        let neighbors = self.peers.neighbors();
        let others = neighbors.peers.len() + usize::from(neighbors.parent.is_some());
        let others = (others + self.peers.children().len()).max(1) as u64;
        let budget = BYTES_PER_SECOND * self.settings.exchange_ms / 1_000;
        let entries = (budget / (others * ENTRY_BYTES)).max(MIN_ENTRIES);
        let now = clock::now();
        let mut ledger = self.ledger.lock();
        ledger.set_limits(Limits {
            max_entries: usize::try_from(entries).unwrap_or(usize::MAX),
            horizon_ms: MIN_HORIZON_MS.max(HORIZON_INTERVALS * self.settings.exchange_ms),
            ..Limits::default()
        });
        if neighbors.parent.is_none() {
            ledger.set_parent(None, now);
        }
        ledger.tick(now);
        let age_ms = now.saturating_sub(ledger.as_of(now));
        #[expect(clippy::cast_precision_loss, reason = "milliseconds of an age are few")]
        gauge!("exchange_age_ms", "router" => self.member.name.clone()).set(age_ms as f64);
    }

    /// The routers to call in a round, with this router's relation to them. After a
    /// configuration change, all that it exchanges with.
    fn targets(&self, round: u64, config_changed: bool) -> Vec<(Arc<Peer>, CallerRelation)> {
        let neighbors = self.peers.neighbors();
        let mut targets = Vec::new();
        let parent = neighbors
            .parent
            .iter()
            .filter_map(|name| self.peers.get(name));
        targets.extend(parent.map(|parent| (parent, Some(Relation::Child))));
        let peers = neighbors
            .peers
            .iter()
            .filter_map(|name| self.peers.get(name));
        let peers = peers.filter(|peer| config_changed || self.is_caller(peer));
        targets.extend(peers.map(|peer| (peer, Some(Relation::Peer))));
        if round.is_multiple_of(PROBE_ROUNDS) {
            let probe = neighbors
                .probe
                .iter()
                .filter_map(|name| self.peers.get(name));
            targets.extend(probe.map(|peer| (peer, None)));
        }
        if config_changed {
            let children = self.peers.children().into_iter();
            targets.extend(children.map(|child| (child, Some(Relation::Parent))));
        }
        targets
    }

    /// Of two peers the one with the lesser name calls; the other calls after silence.
    fn is_caller(&self, peer: &Peer) -> bool {
        let max_silence = self.interval() * SILENT_INTERVALS;
        let last = peer.last_summary();
        self.member.name < peer.name
            || last.is_none_or(|last| last.received_at.elapsed() >= max_silence)
    }

    async fn call(self: &Arc<Self>, peer: &Arc<Peer>, relation: CallerRelation) {
        let Some(_guard) = peer.calling.try_acquire() else {
            return;
        };
        // Repeated once if the peer turned out to be an unknown instance.
        for _ in 0..2 {
            let known = peer.last_summary().map(|last| last.instance());
            let statement = known
                .zip(relation)
                .map(|(instance, relation)| self.next_statement(instance, relation));
            let summary = self.summary(statement, relation.unwrap_or_default());
            let Some(answer) = self.exchange(peer, summary).await else {
                return self.record_failure(peer).await;
            };
            let is_known = known == Some(instance(&answer.from));
            self.receive(&answer);
            if is_known || relation.is_none() {
                return;
            }
        }
    }

    async fn exchange(&self, peer: &Peer, summary: Summary) -> Option<Summary> {
        counter!("exchange_calls_total").increment(1);
        let client = peer.client(&self.bytes).await?;
        client.exchange(call_context(), summary).await.ok()
    }

    async fn record_failure(&self, peer: &Peer) {
        counter!("exchange_failures_total").increment(1);
        peer.disconnect().await;
        if self.peers.record_failure(&peer.name) {
            log!(self.logger, Event::PeerDown, "peer" => &peer.name);
        }
    }
}
