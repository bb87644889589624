//! Control calls from routers to sidecars.

use mulberryyoke_model::{Attempt, Change, Incarnation, KeyId, Millis, Outcome, Revision};
use serde::{Deserialize, Serialize};

use crate::{Grant, Interest, Load, Report, Usage};

/// A router's long poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// Instance of the router.
    pub origin: Incarnation,
    /// Highest configuration revision the router has applied.
    pub revision: Revision,
    /// Time by which to respond even if nothing has changed.
    pub until: Millis,
    /// Sequence number of the sidecar's last report received by the router; 0 for none.
    pub acknowledged: u64,
    /// Changed fleet-wide totals per customer, including this sidecar's usage up to report
    /// `acknowledged`.
    pub fleet: Vec<Usage>,
    /// Approximate time up to which `fleet` includes the usage of other collectors'
    /// sidecars.
    pub fleet_as_of: Millis,
}

/// Response to a long poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollResponse {
    /// Load and state of the server.
    pub load: Load,
    /// Slots reserved for requests queued at this router.
    pub grants: Vec<Grant>,
    /// Usage on this server, if this router is the sidecar's collector.
    pub report: Option<Report>,
}

/// Result of a withdrawal, after which the attempt can never start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdrawal {
    /// Outcome of the attempt or of its key.
    pub outcome: Outcome,
    /// Whether an earlier instance of the sidecar may have started the request.
    pub doubtful: bool,
}

/// The sidecar of a backend server.
#[tarpc::service]
pub trait Sidecar {
    /// Declares the requests queued at the router; `full` replaces all earlier declarations.
    async fn declare(origin: Incarnation, full: bool, interest: Vec<Interest>);

    /// Waits for grants, a change of load or the poll's deadline.
    async fn poll(poll: Poll) -> PollResponse;

    /// Releases reserved slots that were not used.
    async fn decline(grants: Vec<u64>);

    /// Prevents an attempt and its key from starting here if they have not started yet, and
    /// returns the outcome.
    async fn withdraw(attempt: Attempt, key: Option<KeyId>) -> Withdrawal;

    /// Returns the outcome of a request without side effects.
    async fn outcome(attempt: Attempt, key: Option<KeyId>) -> Outcome;

    /// Applies configuration changes and returns the resulting revision.
    async fn configure(changes: Vec<Change>) -> Revision;

    /// Reports the keys that this router instance has sent to the server within the retention
    /// time, without those known not to have run. `complete` is false if some were discarded.
    /// This is the first call on every connection; afterwards the router sends requests with
    /// keys for the server only to this instance of the sidecar.
    async fn recall(origin: Incarnation, complete: bool, keys: Vec<KeyId>);

    /// Returns configuration changes newer than a revision, for routers that start while the
    /// key-value service is unreachable.
    async fn changes(since: Revision) -> Vec<Change>;
}
