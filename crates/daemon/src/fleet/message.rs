//! Messages to and from other routers.

use std::collections::BTreeSet;
use std::sync::Arc;

use mulberryyoke_decide::exchange::Instance;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Relation, ServerId, Statement};
use mulberryyoke_wire::Summary;

use super::Fleet;
use super::peer::life;
use crate::clock;

/// Most servers in a hint.
const MOST_IDLE: usize = 16;

/// What the receiver of a statement is to its sender.
pub(super) fn inverse(relation: Relation) -> Relation {
    match relation {
        Relation::Peer => Relation::Peer,
        Relation::Child => Relation::Parent,
        Relation::Parent => Relation::Child,
    }
}

impl Fleet {
    /// The next statement for a life that this router calls, which its plan makes
    /// `relation` to it.
    pub(super) fn state(&self, life: Instance, relation: Relation) -> Statement {
        let now = clock::now();
        let mut ledger = self.ledger.lock();
        if relation == Relation::Child {
            ledger.set_parent(Some(life), now);
        }
        ledger.next_statement(life.incarnation, relation, now)
    }

    /// The answering statement for a life that called; none as its child unless this
    /// router's own plan says so too.
    pub(super) fn answer(&self, life: Instance, relation: Relation) -> Option<Statement> {
        let mut ledger = self.ledger.lock();
        if relation == Relation::Child && ledger.parent() != Some(life.incarnation) {
            return None;
        }
        Some(ledger.next_statement(life.incarnation, relation, clock::now()))
    }

    /// A message for another router that this one is `relation` to.
    pub(super) fn summary(&self, statement: Option<Statement>, relation: Relation) -> Summary {
        let (revision, digest) = self.store.standing();
        Summary {
            from: self.member.clone(),
            revision,
            digest,
            statement,
            idle: self.hint(relation),
        }
    }

    /// Idle servers to tell of: upwards and to peers those of this router and below it,
    /// downwards all, so that no hint goes in a circle.
    fn hint(&self, relation: Relation) -> Vec<ServerId> {
        let mut idle: BTreeSet<ServerId> = self.idle.lock().iter().copied().collect();
        if relation == Relation::Parent {
            idle.extend(self.peers.idle());
        } else {
            let children = self.peers.children().into_iter();
            let heard = children.filter_map(|child| child.heard());
            idle.extend(heard.flat_map(|heard| heard.idle));
        }
        idle.into_iter().take(MOST_IDLE).collect()
    }

    /// Takes in what another router says.
    pub(super) fn hear(self: &Arc<Self>, summary: &Summary) {
        if let Some(statement) = &summary.statement {
            let mut ledger = self.ledger.lock();
            ledger.receive(life(&summary.from), statement, clock::now());
        }
        let Some((peer, is_new)) = self.peers.hear(summary) else {
            return;
        };
        if is_new {
            log!(self.logger, Event::PeerUp, "peer" => &peer.name,
                "incarnation" => summary.from.incarnation.0);
        }
        self.catch_up(&peer, summary.revision, summary.digest);
    }
}
