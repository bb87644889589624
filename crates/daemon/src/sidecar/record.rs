//! The server's home record in the key-value store.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use mulberryyoke_decide::key::{PriorRecord, SavedState};
use mulberryyoke_model::{Incarnation, KeyId, Millis};
use serde::{Deserialize, Serialize};

/// Size of a key before base64 encoding.
const KEY_BYTES: usize = size_of::<u64>();

/// State that one instance of a sidecar hands to the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Record {
    /// Instance that wrote the record.
    pub(crate) incarnation: Incarnation,
    /// Start time of that instance.
    pub(crate) started_at: Millis,
    /// Routers that may have sent keys to this or an earlier instance.
    pub(crate) routers: Vec<Incarnation>,
    /// Retained keys; written at a planned stop only.
    pub(crate) closed: Option<Keys>,
}

/// Keys by final state: little-endian `u64`s, base64-encoded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Keys {
    ran: String,
    cut: String,
    barred: String,
    doubtful: String,
}

impl Keys {
    pub(crate) fn encode(states: &[(KeyId, SavedState)]) -> Self {
        let encode = |wanted: SavedState| {
            let keys = states.iter().filter(|(_, state)| *state == wanted);
            let bytes: Vec<u8> = keys.flat_map(|(key, _)| key.0.to_le_bytes()).collect();
            STANDARD.encode(bytes)
        };
        Self {
            ran: encode(SavedState::Completed),
            cut: encode(SavedState::Interrupted),
            barred: encode(SavedState::Withdrawn),
            doubtful: encode(SavedState::Indeterminate),
        }
    }

    fn decode(&self) -> Option<Vec<(KeyId, SavedState)>> {
        let lists = [
            (&self.ran, SavedState::Completed),
            (&self.cut, SavedState::Interrupted),
            (&self.barred, SavedState::Withdrawn),
            (&self.doubtful, SavedState::Indeterminate),
        ];
        let mut states = Vec::new();
        for (encoded, state) in lists {
            let bytes = STANDARD.decode(encoded).ok()?;
            let (keys, remainder) = bytes.as_chunks::<KEY_BYTES>();
            if !remainder.is_empty() {
                return None;
            }
            let keys = keys.iter().map(|key| KeyId(u64::from_le_bytes(*key)));
            states.extend(keys.map(|key| (key, state)));
        }
        Some(states)
    }
}

impl Record {
    /// Decodes a stored value; `None` if it is not a valid record.
    pub(crate) fn parse(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    /// Encodes the record as JSON.
    ///
    /// # Panics
    ///
    /// Never: a record always serializes to JSON.
    pub(crate) fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record always serializes to JSON")
    }

    /// The record as seen by the next instance.
    pub(crate) fn prior(&self) -> PriorRecord {
        let Some(keys) = &self.closed else {
            return PriorRecord::Open(self.routers.clone());
        };
        keys.decode()
            .map_or(PriorRecord::Unreadable, PriorRecord::Closed)
    }
}
