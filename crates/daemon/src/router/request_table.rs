//! Outcomes of this router's most recent requests.

use std::collections::VecDeque;

use mulberryyoke_model::{Attempt, KeyId, Outcome, ServerId};
use parking_lot::Mutex;

/// Maximum number of records; the outcome of older requests is reported as unknown.
const MAX_RECORDS: usize = 65_536;

/// The stored state of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Record {
    pub(crate) outcome: Outcome,
    /// The server of the latest attempt.
    pub(crate) server: Option<ServerId>,
    /// The number of the latest attempt.
    pub(crate) attempt: u8,
    /// The idempotency key, if the request must run at most once.
    pub(crate) key: Option<KeyId>,
    /// Number of attempts that may have run.
    unresolved: u8,
}

#[derive(Debug, Default)]
struct State {
    /// Sequence number of the oldest record.
    first_request: u64,
    records: VecDeque<Record>,
}

impl State {
    fn get_mut(&mut self, request: u64) -> Option<&mut Record> {
        let index = request.checked_sub(self.first_request)?;
        self.records.get_mut(usize::try_from(index).ok()?)
    }
}

/// Records of the most recent requests by sequence number.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    state: Mutex<State>,
}

impl RequestTable {
    /// Adds a record and returns its sequence number.
    pub(crate) fn insert(&self) -> u64 {
        let mut state = self.state.lock();
        if state.records.len() == MAX_RECORDS {
            state.records.pop_front();
            state.first_request += 1;
        }
        state.records.push_back(Record {
            outcome: Outcome::Waiting,
            server: None,
            attempt: 0,
            key: None,
            unresolved: 0,
        });
        state.first_request + state.records.len() as u64 - 1
    }

    /// Records that an attempt is about to be sent. It counts as unresolved until
    /// [`RequestTable::record_not_run`].
    pub(crate) fn record_attempt(
        &self,
        request: u64,
        attempt: u8,
        server: ServerId,
        key: Option<KeyId>,
    ) {
        if let Some(record) = self.state.lock().get_mut(request) {
            record.outcome = Outcome::Running;
            record.server = Some(server);
            record.attempt = attempt;
            record.key = key;
            record.unresolved = record.unresolved.saturating_add(1);
        }
    }

    /// Records that one attempt is known not to have run.
    pub(crate) fn record_not_run(&self, request: u64) {
        if let Some(record) = self.state.lock().get_mut(request) {
            record.unresolved = record.unresolved.saturating_sub(1);
            if record.unresolved == 0 && record.outcome == Outcome::Unknown {
                record.outcome = Outcome::NotRun;
            }
        }
    }

    /// Records the outcome that a sidecar reports for an abandoned attempt.
    pub(crate) fn record_late_outcome(&self, attempt: Attempt, outcome: Outcome) {
        if !matches!(outcome, Outcome::Ran | Outcome::Cut) {
            return;
        }
        if let Some(record) = self.state.lock().get_mut(attempt.request)
            && record.outcome == Outcome::Unknown
        {
            record.outcome = outcome;
        }
    }

    /// Records that the request is queued again.
    pub(crate) fn record_queued(&self, request: u64) {
        self.set_outcome(request, Outcome::Waiting);
    }

    /// Records the outcome reported to the caller.
    pub(crate) fn set_outcome(&self, request: u64, outcome: Outcome) {
        if let Some(record) = self.state.lock().get_mut(request) {
            record.outcome = outcome;
        }
    }

    /// Returns the record of a request.
    pub(crate) fn get(&self, request: u64) -> Option<Record> {
        self.state.lock().get_mut(request).copied()
    }
}
