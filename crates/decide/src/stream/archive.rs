//! What a gateway keeps of the origins of streams outside of all gateways.
//!
//! The entries fill numbered slots, each of which is one value. The last slot is written again with
//! each new entry until it is full, so that few values are kept; a slot whose entries have all
//! expired is filled anew.

use mulberryyoke_model::{Millis, StreamId};
use rand::{Rng, RngExt};

use super::{Origin, Pace};

/// Maximum number of entries of a slot, about 5 KB.
pub const SLOT_ENTRIES: usize = 512;

/// Divisor of the interval between writes that gives the random part added to it.
const JITTER_DIVISOR: Millis = 4;

/// The origin of a stream, and until when it is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kept {
    /// The stream.
    pub stream: StreamId,
    /// What it began on.
    pub origin: Origin,
    /// When it expires.
    pub until: Millis,
}

/// A slot to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Number of the slot.
    pub slot: usize,
    /// Its entries.
    pub entries: Vec<Kept>,
}

#[derive(Clone, Debug, Default)]
struct Slot {
    entries: Vec<Kept>,
    /// Whether it has to be written.
    is_dirty: bool,
}

/// Entries of this gateway's archive, and which of them have to be written.
#[derive(Clone, Debug, Default)]
pub struct Archive {
    slots: Vec<Slot>,
    /// Slot that takes new entries.
    open: usize,
    /// Earliest time of the next write.
    next: Millis,
    /// When a full archive is next searched for expired entries.
    next_expiry: Millis,
}

impl Archive {
    /// Records an entry that is to be written. Returns `false` if there is no room for it.
    pub fn record(&mut self, entry: Kept, pace: &Pace, now: Millis) -> bool {
        if self.len() >= pace.max_entries && now >= self.next_expiry {
            self.next_expiry = now.saturating_add(pace.interval);
            self.expire(now);
        }
        if self.len() >= pace.max_entries {
            return false;
        }
        let open = self.open_slot(now);
        open.entries.push(entry);
        open.is_dirty = true;
        true
    }

    /// Returns the slot that takes new entries: the same one until it is full.
    fn open_slot(&mut self, now: Millis) -> &mut Slot {
        if let Some(open) = self.slots.get_mut(self.open) {
            open.entries.retain(|entry| entry.until > now);
        }
        let is_usable = |slot: &Slot| slot.entries.len() < SLOT_ENTRIES;
        if !self.slots.get(self.open).is_some_and(is_usable) {
            let is_expired = |slot: &Slot| slot.entries.iter().all(|entry| entry.until <= now);
            let expired = self.slots.iter().position(is_expired);
            self.open = expired.unwrap_or(self.slots.len());
        }
        if self.open == self.slots.len() {
            self.slots.push(Slot::default());
        }
        let slot = &mut self.slots[self.open];
        slot.entries.retain(|entry| entry.until > now);
        slot
    }

    /// Returns the earliest time of the next write; `None` if there is nothing to write.
    #[must_use]
    pub fn next_write(&self) -> Option<Millis> {
        let is_dirty = self.slots.iter().any(|slot| slot.is_dirty);
        is_dirty.then_some(self.next)
    }

    /// Returns a slot to be written now, if the time for it has come. A full one comes first.
    pub fn take(&mut self, pace: &Pace, now: Millis, rng: &mut impl Rng) -> Option<Batch> {
        if self.next_write()? > now {
            return None;
        }
        let open = self.open;
        let dirty = (0..self.slots.len()).filter(|slot| self.slots[*slot].is_dirty);
        let slot = dirty.min_by_key(|slot| *slot == open)?;
        let taken = &mut self.slots[slot];
        taken.is_dirty = false;
        taken.entries.retain(|entry| entry.until > now);
        let entries = taken.entries.clone();
        let has_more = self.slots.iter().any(|slot| slot.is_dirty);
        let wait = if has_more {
            pace.spacing
        } else {
            pace.interval
        };
        let jitter = rng.random_range(0..=wait / JITTER_DIVISOR);
        self.next = now.saturating_add(wait).saturating_add(jitter);
        Some(Batch { slot, entries })
    }

    /// Records that a slot was not written.
    pub fn record_failure(&mut self, slot: usize) {
        if let Some(slot) = self.slots.get_mut(slot) {
            slot.is_dirty = true;
        }
    }

    /// Records that all that was written is lost: every entry that has not expired is written again.
    pub fn record_loss(&mut self, now: Millis) {
        self.expire(now);
        for slot in &mut self.slots {
            slot.is_dirty = !slot.entries.is_empty();
        }
    }

    /// Returns whether any entry is still kept.
    #[must_use]
    pub fn is_live(&self, now: Millis) -> bool {
        let mut entries = self.slots.iter().flat_map(|slot| &slot.entries);
        entries.any(|entry| entry.until > now)
    }

    /// Returns the number of entries, expired ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.iter().map(|slot| slot.entries.len()).sum()
    }

    /// Returns whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of slots.
    #[must_use]
    pub fn slots(&self) -> usize {
        self.slots.len()
    }

    fn expire(&mut self, now: Millis) {
        for slot in &mut self.slots {
            slot.entries.retain(|entry| entry.until > now);
        }
    }
}
