//! Control calls that routers make to each other.

use mulberryyoke_model::{
    Attempt, Change, Incarnation, KeyId, Millis, Outcome, Revision, ServerId, Statement,
};
use serde::{Deserialize, Serialize};

/// A router as its peers know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Unique name.
    pub name: String,
    /// Region it runs in.
    pub region: String,
    /// Availability zone it runs in.
    pub zone: String,
    /// Its life.
    pub incarnation: Incarnation,
    /// When that life began.
    pub started_at: Millis,
}

/// One message of the usage exchange; idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Who sends.
    pub from: Member,
    /// Highest configuration revision applied.
    pub revision: Revision,
    /// Hash of what is accepted; nodes of one revision that differ compare all of it.
    pub digest: u64,
    /// Service counted, unless the receiver's life is not known yet.
    pub statement: Option<Statement>,
    /// Servers with free slots that the sender can spare, at most a few.
    pub idle: Vec<ServerId>,
}

/// A router of the fleet.
#[tarpc::service]
pub trait Router {
    /// Exchanges usage, standing and idle servers; returns the callee's own summary.
    async fn exchange(summary: Summary) -> Summary;

    /// Configuration newer than a revision.
    async fn changes(since: Revision) -> Vec<Change>;

    /// Tells what became of a request that this router took.
    async fn outcome(attempt: Attempt) -> Outcome;

    /// Keys that this router sent to a server since an instant and that are not
    /// proved not run, together with when this router's life began.
    async fn keys(server: ServerId, since: Millis) -> (Millis, Vec<KeyId>);
}
