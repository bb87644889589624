//! Server crashes, whatever requests the servers were running.

use std::collections::VecDeque;

use mulberryyoke_model::{Millis, ServerId};

use super::record::RETENTION_MS;

/// Maximum number of crashes kept; the oldest is evicted first.
const MAX_CRASHES: usize = 512;

/// Other servers that must crash at about the same time for it to count as a mass crash.
const MASS_CRASH_SERVERS: usize = 3;

/// Largest time difference between crashes of one mass crash, in milliseconds. A longer window
/// would also match a flood of distinct bad requests: twelve servers that restart in three
/// seconds crash four times a second.
const MASS_CRASH_WINDOW_MS: u64 = 100;

/// Crashed server instances and the times of their crashes, in the order they were learned.
#[derive(Clone, Debug, Default)]
pub(super) struct Crashes {
    entries: VecDeque<(ServerId, Millis)>,
}

impl Crashes {
    /// Records that a server instance crashed at `at`, unless its crash is already known.
    pub(super) fn record(&mut self, server: ServerId, at: Millis) {
        if self.entries.iter().any(|(known, _)| *known == server) {
            return;
        }
        self.entries.push_back((server, at));
        if self.entries.len() > MAX_CRASHES {
            self.entries.pop_front();
        }
    }

    /// Returns when a server instance crashed, if its crash is known.
    pub(super) fn time_of(&self, server: ServerId) -> Option<Millis> {
        let mut entries = self.entries.iter();
        let (_, at) = entries.find(|(known, _)| *known == server)?;
        Some(*at)
    }

    /// Returns whether a mass crash happened around `at`, ignoring the servers that match
    /// `is_own`. A request running on one of many servers killed together is not the cause.
    pub(super) fn is_mass_crash(&self, at: Millis, is_own: impl Fn(ServerId) -> bool) -> bool {
        let nearby = self.entries.iter();
        let nearby = nearby.filter(|(server, crashed_at)| {
            crashed_at.abs_diff(at) <= MASS_CRASH_WINDOW_MS && !is_own(*server)
        });
        nearby.take(MASS_CRASH_SERVERS).count() == MASS_CRASH_SERVERS
    }

    /// Drops crashes older than the retention time.
    pub(super) fn expire(&mut self, now: Millis) {
        self.entries
            .retain(|(_, at)| now.saturating_sub(*at) < RETENTION_MS);
    }
}
