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

/// Expected times of a prompt at its server, in milliseconds from its sending.
#[derive(Clone, Copy, Debug)]
pub(super) struct Expectation {
    /// When it gets a slot.
    pub(super) slot_ms: f64,
    /// When its first token arrives.
    pub(super) first_token_ms: f64,
}

/// A prompt that has not produced its first token.
#[derive(Clone, Copy, Debug)]
struct Entry {
    position: Position,
    /// Tokens whose prefill is not expected to be done.
    tokens_left: f64,
    /// When its prefill may start.
    start: Millis,
    /// When its first token is overdue.
    due: Millis,
}

/// This gateway's prompts at one server that have not produced their first token. Their prefill
/// is counted down in the order of sending at the speed of the server.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    entries: Vec<Entry>,
    next_id: u64,
}

impl Backlog {
    /// Adds a prompt sent at `now`.
    pub(super) fn add(&mut self, tokens: u32, expected: Expectation, now: Millis) -> Position {
        let position = Position {
            id: self.next_id,
            tokens,
        };
        self.next_id += 1;
        let tolerance_ms = TOLERANCE_MS + TOLERANCE_FRACTION * expected.first_token_ms;
        self.entries.push(Entry {
            position,
            tokens_left: f64::from(tokens),
            start: after(now, expected.slot_ms),
            due: after(now, expected.first_token_ms + tolerance_ms),
        });
        position
    }

    /// Counts down `tokens` that the server is expected to have prefilled by `now`.
    pub(super) fn prefill(&mut self, mut tokens: f64, now: Millis) {
        for entry in &mut self.entries {
            if entry.start <= now {
                let done = entry.tokens_left.min(tokens);
                entry.tokens_left -= done;
                tokens -= done;
            }
        }
    }

    /// Delays the expected prefill and first token of a prompt.
    pub(super) fn delay(&mut self, position: Position, ms: f64) {
        let mut entries = self.entries.iter_mut();
        if let Some(entry) = entries.find(|entry| entry.position.id == position.id) {
            entry.start = after(entry.start, ms);
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

    /// Prompt tokens whose prefill is not expected to be done.
    pub(super) fn tokens_left(&self) -> f64 {
        self.entries.iter().map(|entry| entry.tokens_left).sum()
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
