//! The exchange with other routers: usage, standing, idle servers, and news of the
//! configuration.

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
use super::peer::{Peer, context, life};
use crate::clock;

/// Bytes a second for counters to all other routers.
const BUDGET: u64 = 4_096;

/// Mean bytes of a counter in a message.
const ENTRY_BYTES: u64 = 14;

/// Fewest counters in a message.
const FEWEST_ENTRIES: u64 = 32;

/// Rounds between two calls to a suspect router.
const PROBE_ROUNDS: u64 = 5;

/// Intervals after which a router calls one that should have called it.
const UNHEARD_INTERVALS: u32 = 2;

/// News of the configuration waits this long for more of it, in milliseconds.
const NEWS_MS: u64 = 20;

/// Longest wait for the first answers of other routers, in milliseconds.
const FIRST_MS: u64 = 2_500;

/// How long a prediction holds and a router counts as heard, at least, in milliseconds.
const HORIZON_MS: u64 = 5_000;

/// The same in exchanges.
const HORIZON_INTERVALS: u64 = 3;

/// Exchanges until stopped.
pub(super) async fn run(fleet: Arc<Fleet>) {
    fleet.listed.cancelled().await;
    let first = fleet.targets(0, true);
    let calls = first
        .iter()
        .map(|(peer, relation)| fleet.call(peer, *relation));
    let _ = timeout(Duration::from_millis(FIRST_MS), join_all(calls)).await;
    fleet.asked.cancel();
    let mut revision = fleet.store.watch();
    let mut next = Instant::now();
    let mut news = false;
    for round in 1.. {
        fleet.begin_round();
        for (peer, relation) in fleet.targets(round, news) {
            let fleet = Arc::clone(&fleet);
            fleet.run(call(Arc::clone(&fleet), peer, relation));
        }
        if !news || Instant::now() >= next {
            next = Instant::now() + fleet.interval();
        }
        tokio::select! {
            () = sleep_until(next) => news = false,
            Ok(()) = revision.changed() => {
                sleep(Duration::from_millis(NEWS_MS)).await;
                revision.mark_unchanged();
                news = true;
            }
        }
    }
}

/// What a router is to the one that it calls; `None` when it only asks whether that one
/// answers.
type Role = Option<Relation>;

async fn call(fleet: Arc<Fleet>, peer: Arc<Peer>, relation: Role) {
    fleet.call(&peer, relation).await;
}

impl Fleet {
    fn interval(&self) -> Duration {
        Duration::from_millis(self.settings.exchange_ms.max(1))
    }

    fn begin_round(&self) {
        let plan = self.peers.plan();
        let others = plan.peers.len() + usize::from(plan.parent.is_some());
        let others = (others + self.peers.children().len()).max(1) as u64;
        let budget = BUDGET * self.settings.exchange_ms / 1_000;
        let entries = (budget / (others * ENTRY_BYTES)).max(FEWEST_ENTRIES);
        let now = clock::now();
        let mut ledger = self.ledger.lock();
        ledger.set_limits(Limits {
            max_entries: usize::try_from(entries).unwrap_or(usize::MAX),
            horizon_ms: HORIZON_MS.max(HORIZON_INTERVALS * self.settings.exchange_ms),
            ..Limits::default()
        });
        if plan.parent.is_none() {
            ledger.set_parent(None, now);
        }
        ledger.tick(now);
        let age_ms = now.saturating_sub(ledger.as_of(now));
        #[expect(clippy::cast_precision_loss, reason = "milliseconds of an age are few")]
        gauge!("exchange_age_ms", "router" => self.member.name.clone()).set(age_ms as f64);
    }

    /// Whom to call in a round, and what this router is to them. With `news` to tell,
    /// everyone that it exchanges with.
    fn targets(&self, round: u64, news: bool) -> Vec<(Arc<Peer>, Role)> {
        let plan = self.peers.plan();
        let mut targets = Vec::new();
        let parent = plan.parent.iter().filter_map(|name| self.peers.get(name));
        targets.extend(parent.map(|parent| (parent, Some(Relation::Child))));
        let peers = plan.peers.iter().filter_map(|name| self.peers.get(name));
        let peers = peers.filter(|peer| news || self.calls(peer));
        targets.extend(peers.map(|peer| (peer, Some(Relation::Peer))));
        if round.is_multiple_of(PROBE_ROUNDS) {
            let probe = plan.probe.iter().filter_map(|name| self.peers.get(name));
            targets.extend(probe.map(|peer| (peer, None)));
        }
        if news {
            let children = self.peers.children().into_iter();
            targets.extend(children.map(|child| (child, Some(Relation::Parent))));
        }
        targets
    }

    /// Of two peers the one with the lesser name calls, the other one if that fails.
    fn calls(&self, peer: &Peer) -> bool {
        let unheard_for = self.interval() * UNHEARD_INTERVALS;
        let heard = peer.heard();
        self.member.name < peer.name || heard.is_none_or(|heard| heard.at.elapsed() >= unheard_for)
    }

    async fn call(self: &Arc<Self>, peer: &Arc<Peer>, relation: Role) {
        let Some(_raised) = peer.calling.raise() else {
            return;
        };
        // A second time if the first one found a life that was not known.
        for _ in 0..2 {
            let known = peer.heard().map(|heard| heard.life());
            let statement = known
                .zip(relation)
                .map(|(life, relation)| self.state(life, relation));
            let summary = self.summary(statement, relation.unwrap_or_default());
            let Some(answer) = self.ask(peer, summary).await else {
                return self.note_failure(peer).await;
            };
            let is_known = known == Some(life(&answer.from));
            self.hear(&answer);
            if is_known || relation.is_none() {
                return;
            }
        }
    }

    async fn ask(&self, peer: &Peer, summary: Summary) -> Option<Summary> {
        counter!("exchange_calls_total").increment(1);
        let client = peer.client(&self.bytes).await?;
        client.exchange(context(), summary).await.ok()
    }

    async fn note_failure(&self, peer: &Peer) {
        counter!("exchange_failures_total").increment(1);
        peer.disconnect().await;
        if self.peers.fail(&peer.name) {
            log!(self.logger, Event::PeerDown, "peer" => &peer.name);
        }
    }
}
