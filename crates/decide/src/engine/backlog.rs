//! This gateway's prompts that have not produced their first token.

use mulberryyoke_model::{Millis, saturating_u64};

use super::Position;

/// Longest overdue time that counts, in milliseconds: more than any objective.
const MAX_OVERDUE_MS: f64 = 2_000.0;

/// Fraction of the expected time to first token by which it may be late.
const TOLERANCE_FRACTION: f64 = 0.25;

/// Time by which a first token may be late in any case, in milliseconds: two steps with a prompt
/// chunk each.
const TOLERANCE_MS: f64 = 30.0;

/// A prompt that has not produced its first token.
#[derive(Clone, Copy, Debug)]
struct Entry {
    position: Position,
    /// When its first token is overdue.
    due: Millis,
}

/// This gateway's prompts at one server that have not produced their first token.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    entries: Vec<Entry>,
    next_id: u64,
}

impl Backlog {
    /// Adds a prompt sent at `now`, whose first token is expected after `first_token_ms`.
    pub(super) fn add(&mut self, tokens: u32, first_token_ms: f64, now: Millis) -> Position {
        let position = Position {
            id: self.next_id,
            tokens,
        };
        self.next_id += 1;
        let tolerance_ms = TOLERANCE_MS + TOLERANCE_FRACTION * first_token_ms;
        self.entries.push(Entry {
            position,
            due: after(now, first_token_ms + tolerance_ms),
        });
        position
    }

    /// Delays the expected first token of a prompt.
    pub(super) fn delay(&mut self, position: Position, ms: f64) {
        let mut entries = self.entries.iter_mut();
        if let Some(entry) = entries.find(|entry| entry.position.id == position.id) {
            entry.due = after(entry.due, ms);
        }
    }

    /// Excludes a prompt whose first token is not observed from the overdue ones.
    pub(super) fn set_unobserved(&mut self, position: Position) {
        let mut entries = self.entries.iter_mut();
        if let Some(entry) = entries.find(|entry| entry.position.id == position.id) {
            entry.due = Millis::MAX;
        }
    }

    /// Records that a prompt has produced its first token. Servers prefill in order, so that prompts
    /// sent before it that lack theirs say nothing of the server's speed any more.
    pub(super) fn record_first_token(&mut self, position: Position) {
        for entry in &mut self.entries {
            if entry.position.id < position.id {
                entry.due = Millis::MAX;
            }
        }
        self.remove(position);
    }

    /// Removes a prompt that has produced its first token, or ended without.
    pub(super) fn remove(&mut self, position: Position) {
        self.entries
            .retain(|entry| entry.position.id != position.id);
    }

    /// Tokens of these prompts. Each counts in full until its first token, since how far its prefill
    /// has come is uncertain; counting less admits more than the servers can answer in time.
    pub(super) fn tokens(&self) -> u32 {
        let tokens = self.entries.iter().map(|entry| entry.position.tokens);
        tokens.fold(0, u32::saturating_add)
    }

    /// How long the most overdue first token has been overdue at `now`, in milliseconds.
    pub(super) fn overdue_ms(&self, now: Millis) -> f64 {
        let earliest = self.entries.iter().map(|entry| entry.due).min();
        let overdue_ms = earliest.map_or(0, |due| now.saturating_sub(due));
        as_f64(overdue_ms).min(MAX_OVERDUE_MS)
    }
}

/// The point in time `ms` milliseconds after `now`.
const fn after(now: Millis, ms: f64) -> Millis {
    now.saturating_add(saturating_u64(ms.round()))
}

#[expect(clippy::cast_precision_loss, reason = "some seconds in milliseconds")]
const fn as_f64(ms: Millis) -> f64 {
    ms as f64
}
