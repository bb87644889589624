//! Lives of servers that ended, whatever they ran.

use std::collections::VecDeque;

use mulberryyoke_model::{Millis, ServerId};

use super::record::REMEMBERED_MS;

/// Lives that are remembered, the latest of them.
const MOST: usize = 512;

/// Lives beside a request's own that end with one of them when many servers are killed at once.
const KILLED: usize = 3;

/// Time within which they end, in milliseconds. Longer, a flood of different bad requests would
/// look the same: twelve servers that are back after three seconds end four times a second.
const AT_ONCE_MS: u64 = 100;

/// Lives of servers that ended, oldest first as they were learnt.
#[derive(Clone, Debug, Default)]
pub(super) struct Lives {
    ended: VecDeque<(ServerId, Millis)>,
}

impl Lives {
    /// Notes that a life ended at an instant.
    pub(super) fn end(&mut self, server: ServerId, at: Millis) {
        if self.ended.iter().any(|(known, _)| *known == server) {
            return;
        }
        self.ended.push_back((server, at));
        if self.ended.len() > MOST {
            self.ended.pop_front();
        }
    }

    /// Whether servers ended in numbers about an instant, those left out that `is_own` names:
    /// what runs on one of many that are killed at once has not done it.
    pub(super) fn is_kill(&self, at: Millis, is_own: impl Fn(ServerId) -> bool) -> bool {
        let about = self.ended.iter();
        let about =
            about.filter(|(server, ended)| ended.abs_diff(at) <= AT_ONCE_MS && !is_own(*server));
        about.take(KILLED).count() == KILLED
    }

    /// Forgets those that ended too long ago to matter.
    pub(super) fn expire(&mut self, now: Millis) {
        self.ended
            .retain(|(_, at)| now.saturating_sub(*at) < REMEMBERED_MS);
    }
}
