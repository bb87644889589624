//! Messages to and from other routers.

use std::collections::BTreeSet;
use std::sync::Arc;

use mulberryyoke_decide::exchange::Instance;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Relation, ServerId, Statement};
use mulberryyoke_wire::Summary;

use super::Fleet;
use super::peer::instance;
use crate::clock;

/// Maximum number of idle servers in a message.
const MAX_IDLE: usize = 16;

/// The same relation from the view of the other router.
pub(super) fn inverse(relation: Relation) -> Relation {
    match relation {
        Relation::Peer => Relation::Peer,
        Relation::Child => Relation::Parent,
        Relation::Parent => Relation::Child,
    }
}

impl Fleet {
    /// The next statement for an instance that this router calls. `relation` is this
    /// router's relation to it.
    pub(super) fn next_statement(&self, instance: Instance, relation: Relation) -> Statement {
        let now = clock::now();
        let mut ledger = self.ledger.lock();
        if relation == Relation::Child {
            ledger.set_parent(Some(instance), now);
        }
        ledger.next_statement(instance.incarnation, relation, now)
    }

    /// The statement in reply to an instance that called; `None` if it called as a
    /// parent and is not the parent of this router.
    pub(super) fn reply_statement(
        &self,
        instance: Instance,
        relation: Relation,
    ) -> Option<Statement> {
        let mut ledger = self.ledger.lock();
        if relation == Relation::Child && ledger.parent() != Some(instance.incarnation) {
            return None;
        }
        Some(ledger.next_statement(instance.incarnation, relation, clock::now()))
    }

    /// A message for another router; `relation` is this router's relation to it.
    pub(super) fn summary(&self, statement: Option<Statement>, relation: Relation) -> Summary {
        let (revision, digest) = self.store.version();
        Summary {
            from: self.member.clone(),
            revision,
            digest,
            statement,
            idle: self.idle_servers(relation),
        }
    }

    /// Idle servers to announce: to the parent and to peers those of this router and its
    /// children, to children all. This prevents announcements from looping.
    fn idle_servers(&self, relation: Relation) -> Vec<ServerId> {
        let mut idle: BTreeSet<ServerId> = self.idle.lock().iter().copied().collect();
        if relation == Relation::Parent {
            idle.extend(self.peers.idle());
        } else {
            let children = self.peers.children().into_iter();
            let summaries = children.filter_map(|child| child.last_summary());
            idle.extend(summaries.flat_map(|summary| summary.idle));
        }
        idle.into_iter().take(MAX_IDLE).collect()
    }

    /// Receives a message of another router.
    pub(super) fn receive(self: &Arc<Self>, summary: &Summary) {
        if let Some(statement) = &summary.statement {
            let mut ledger = self.ledger.lock();
            ledger.receive(instance(&summary.from), statement, clock::now());
        }
        let Some((peer, is_new)) = self.peers.receive(summary) else {
            return;
        };
        if is_new {
            log!(self.logger, Event::PeerUp, "peer" => &peer.name,
                "incarnation" => summary.from.incarnation.0);
        }
        self.catch_up(&peer, summary.revision, summary.digest);
    }
}
