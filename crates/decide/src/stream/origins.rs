//! Origins of recent streams.

use std::collections::HashMap;

use mulberryyoke_model::{Millis, PoolId, StreamId};

use super::Origin;

/// Maximum number of streams, about 3 MB.
const MAX_STREAMS: usize = 65_536;

/// Minimum interval between searches of a full table, in milliseconds.
const EXPIRY_INTERVAL_MS: Millis = 1_000;

/// An origin and how long it is kept.
#[derive(Clone, Copy, Debug)]
struct Entry {
    origin: Origin,
    until: Millis,
    /// Whether the stream began on this gateway.
    is_own: bool,
}

/// Origins of recent streams, of this gateway and those that it keeps for others.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    entries: HashMap<StreamId, Entry>,
    /// When a full table is next searched for streams whose time has passed.
    next_expiry: Millis,
}

impl Origins {
    /// Records the origin of a stream until a time. The origin of a known stream does not change.
    /// Returns `false` if there is no room for it.
    pub fn record(
        &mut self,
        stream: StreamId,
        origin: Origin,
        until: Millis,
        is_own: bool,
        now: Millis,
    ) -> bool {
        if let Some(entry) = self.entries.get_mut(&stream) {
            entry.until = entry.until.max(until);
            return true;
        }
        if self.entries.len() >= MAX_STREAMS && now >= self.next_expiry {
            self.expire(now);
        }
        if self.entries.len() >= MAX_STREAMS {
            return false;
        }
        let entry = Entry {
            origin,
            until,
            is_own,
        };
        self.entries.insert(stream, entry);
        true
    }

    /// Returns the origin of a stream, if it is known.
    #[must_use]
    pub fn get(&self, stream: StreamId, now: Millis) -> Option<Origin> {
        let entry = self.entries.get(&stream)?;
        (entry.until > now).then_some(entry.origin)
    }

    /// Returns the streams of a pool that began on this gateway, and until when they are kept.
    pub fn own(&self, pool: PoolId) -> impl Iterator<Item = (StreamId, Origin, Millis)> {
        let entries = self.entries.iter();
        let own = entries.filter(move |(_, entry)| entry.is_own && entry.origin.pool == pool);
        own.map(|(&stream, entry)| (stream, entry.origin, entry.until))
    }

    /// Returns the number of streams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no streams.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops streams whose time has passed.
    pub fn expire(&mut self, now: Millis) {
        self.next_expiry = now.saturating_add(EXPIRY_INTERVAL_MS);
        self.entries.retain(|_, entry| entry.until > now);
    }
}
