//! Control calls that routers make to a sidecar.

use mulberryyoke_model::{Attempt, Change, Incarnation, KeyId, Millis, Outcome, Revision};
use serde::{Deserialize, Serialize};

use crate::{Grant, Interest, Load, Report, Usage};

/// A router's long poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// The router's life.
    pub origin: Incarnation,
    /// Highest configuration revision the router has applied.
    pub revision: Revision,
    /// Answer by this instant even with nothing to tell.
    pub until: Millis,
    /// The last report of this sidecar that the router has counted; 0 for none.
    pub acknowledged: u64,
    /// Fleet-wide service of customers, cumulative in tokens, as far as changed.
    /// Includes this sidecar's own service up to report `counted`.
    pub fleet: Vec<Usage>,
    /// About the instant up to which `fleet` includes the service of other
    /// collectors' sidecars.
    pub fleet_as_of: Millis,
}

/// Answer to a long poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollResponse {
    /// The server's load and standing.
    pub load: Load,
    /// Slots reserved for requests that wait at this router.
    pub grants: Vec<Grant>,
    /// Service given here, when this router is the sidecar's collector.
    pub report: Option<Report>,
}

/// What a withdrawal found. After it the attempt can never start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdrawal {
    /// What had become of the attempt, or of its key.
    pub outcome: Outcome,
    /// Whether an earlier life of the sidecar may have started it.
    pub doubtful: bool,
}

/// The sidecar beside one backend server.
#[tarpc::service]
pub trait Sidecar {
    /// Tells what waits at the router; `full` replaces all it told before.
    async fn declare(origin: Incarnation, full: bool, interest: Vec<Interest>);

    /// Waits for grants, a change of load or the poll's instant.
    async fn poll(poll: Poll) -> PollResponse;

    /// Gives back reserved slots that found no request.
    async fn decline(grants: Vec<u64>);

    /// Makes sure that an attempt, and its key if any, never starts here unless
    /// it already has, and tells what became of it.
    async fn withdraw(attempt: Attempt, key: Option<KeyId>) -> Withdrawal;

    /// Tells what became of a request; nothing is changed.
    async fn outcome(attempt: Attempt, key: Option<KeyId>) -> Outcome;

    /// Applies accepted configuration; returns the highest revision then held.
    async fn configure(changes: Vec<Change>) -> Revision;

    /// Tells, first thing on every new link, which keys this router's life has
    /// sent to the server within the retention time and that are not proved not
    /// run; `complete` unless some had to be forgotten. After this call the
    /// router sends keyed requests for the server to this life of the sidecar only.
    async fn recall(origin: Incarnation, complete: bool, keys: Vec<KeyId>);

    /// Configuration newer than a revision, for a router that starts while the
    /// key-value service is down.
    async fn changes(since: Revision) -> Vec<Change>;
}
