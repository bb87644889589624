//! What became of this router's latest requests.

use std::collections::VecDeque;

use mulberryyoke_model::{Attempt, KeyId, Outcome, ServerId};
use parking_lot::Mutex;

/// Requests remembered; older ones are answered "unknown".
const MOST: usize = 65_536;

/// What is remembered of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Record {
    /// What is known of it.
    pub(crate) outcome: Outcome,
    /// The server it was last sent to.
    pub(crate) server: Option<ServerId>,
    /// The number of that attempt.
    pub(crate) attempt: u8,
    /// Its key, if it must run at most once.
    pub(crate) key: Option<KeyId>,
    /// Attempts that are not proved not to have run.
    doubts: u8,
}

#[derive(Debug, Default)]
struct Records {
    /// Number of the first record.
    first: u64,
    records: VecDeque<Record>,
}

impl Records {
    fn get_mut(&mut self, request: u64) -> Option<&mut Record> {
        let index = request.checked_sub(self.first)?;
        self.records.get_mut(usize::try_from(index).ok()?)
    }
}

/// The latest requests, by sequence number.
#[derive(Debug, Default)]
pub(crate) struct Memory {
    records: Mutex<Records>,
}

impl Memory {
    /// Takes the next sequence number.
    pub(crate) fn open(&self) -> u64 {
        let mut held = self.records.lock();
        if held.records.len() == MOST {
            held.records.pop_front();
            held.first += 1;
        }
        held.records.push_back(Record {
            outcome: Outcome::Waiting,
            server: None,
            attempt: 0,
            key: None,
            doubts: 0,
        });
        held.first + held.records.len() as u64 - 1
    }

    /// Records that an attempt is about to be sent; it counts as a doubt until
    /// [`Memory::prove`].
    pub(crate) fn send(&self, request: u64, attempt: u8, server: ServerId, key: Option<KeyId>) {
        if let Some(record) = self.records.lock().get_mut(request) {
            record.outcome = Outcome::Running;
            record.server = Some(server);
            record.attempt = attempt;
            record.key = key;
            record.doubts = record.doubts.saturating_add(1);
        }
    }

    /// Records that one attempt is proved not to have run.
    pub(crate) fn prove(&self, request: u64) {
        if let Some(record) = self.records.lock().get_mut(request) {
            record.doubts = record.doubts.saturating_sub(1);
            if record.doubts == 0 && record.outcome == Outcome::Unknown {
                record.outcome = Outcome::NotRun;
            }
        }
    }

    /// Records what a sidecar says became of an attempt that was given up.
    pub(crate) fn learn(&self, attempt: Attempt, outcome: Outcome) {
        if !matches!(outcome, Outcome::Ran | Outcome::Cut) {
            return;
        }
        if let Some(record) = self.records.lock().get_mut(attempt.request)
            && record.outcome == Outcome::Unknown
        {
            record.outcome = outcome;
        }
    }

    /// Records that the request waits again.
    pub(crate) fn wait(&self, request: u64) {
        self.settle(request, Outcome::Waiting);
    }

    /// Records what its caller was told.
    pub(crate) fn settle(&self, request: u64, outcome: Outcome) {
        if let Some(record) = self.records.lock().get_mut(request) {
            record.outcome = outcome;
        }
    }

    /// What is remembered of a request.
    pub(crate) fn get(&self, request: u64) -> Option<Record> {
        self.records.lock().get_mut(request).copied()
    }
}
