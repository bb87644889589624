//! Control calls between routers.

use mulberryyoke_model::{
    Attempt, Change, Incarnation, KeyId, Millis, Outcome, Revision, ServerId, Statement,
};
use serde::{Deserialize, Serialize};

/// Identity of a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Unique name.
    pub name: String,
    /// Region it runs in.
    pub region: String,
    /// Availability zone it runs in.
    pub zone: String,
    /// Instance of the router.
    pub incarnation: Incarnation,
    /// Start time of the instance.
    pub started_at: Millis,
}

/// One message of the usage exchange; idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The sender.
    pub from: Member,
    /// Highest configuration revision applied.
    pub revision: Revision,
    /// Hash of the accepted configuration; nodes with the same revision and different hashes
    /// compare the full configuration.
    pub digest: u64,
    /// Usage counters; `None` while the receiver's instance is unknown.
    pub statement: Option<Statement>,
    /// Some servers with free slots that the sender does not need.
    pub idle: Vec<ServerId>,
}

/// A router of the fleet.
#[tarpc::service]
pub trait Router {
    /// Exchanges summaries.
    async fn exchange(summary: Summary) -> Summary;

    /// Returns configuration changes newer than a revision.
    async fn changes(since: Revision) -> Vec<Change>;

    /// Returns the outcome of a request received by this router.
    async fn outcome(attempt: Attempt) -> Outcome;

    /// Returns the start time of this router's instance and the keys that it has sent to a
    /// server since a time, without those known not to have run.
    async fn keys(server: ServerId, since: Millis) -> (Millis, Vec<KeyId>);
}
