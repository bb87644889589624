//! The server's home record in the key-value service.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use mulberryyoke_decide::key::{PriorRecord, SavedState};
use mulberryyoke_model::{Incarnation, KeyId, Millis};
use serde::{Deserialize, Serialize};

/// Bytes of a packed key.
const KEY_BYTES: usize = size_of::<u64>();

/// What one life of a sidecar leaves for the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Record {
    /// The life that wrote it.
    pub(crate) incarnation: Incarnation,
    /// When that life began.
    pub(crate) started_at: Millis,
    /// Routers that may have sent keys to it or to earlier lives.
    pub(crate) routers: Vec<Incarnation>,
    /// Set by a planned stop: every key that matters.
    pub(crate) closed: Option<Keys>,
}

/// Keys by what became of them; eight bytes each, in base64.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Keys {
    ran: String,
    cut: String,
    barred: String,
    doubtful: String,
}

impl Keys {
    pub(crate) fn pack(marks: &[(KeyId, SavedState)]) -> Self {
        let pack = |wanted: SavedState| {
            let keys = marks.iter().filter(|(_, mark)| *mark == wanted);
            let bytes: Vec<u8> = keys.flat_map(|(key, _)| key.0.to_le_bytes()).collect();
            STANDARD.encode(bytes)
        };
        Self {
            ran: pack(SavedState::Completed),
            cut: pack(SavedState::Interrupted),
            barred: pack(SavedState::Withdrawn),
            doubtful: pack(SavedState::Indeterminate),
        }
    }

    fn unpack(&self) -> Option<Vec<(KeyId, SavedState)>> {
        let groups = [
            (&self.ran, SavedState::Completed),
            (&self.cut, SavedState::Interrupted),
            (&self.barred, SavedState::Withdrawn),
            (&self.doubtful, SavedState::Indeterminate),
        ];
        let mut marks = Vec::new();
        for (text, mark) in groups {
            let bytes = STANDARD.decode(text).ok()?;
            let (keys, rest) = bytes.as_chunks::<KEY_BYTES>();
            if !rest.is_empty() {
                return None;
            }
            let keys = keys.iter().map(|key| KeyId(u64::from_le_bytes(*key)));
            marks.extend(keys.map(|key| (key, mark)));
        }
        Some(marks)
    }
}

impl Record {
    /// Reads a value of the key-value service; `None` when it is no record.
    pub(crate) fn parse(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    /// Writes a value for the key-value service.
    ///
    /// # Panics
    ///
    /// Never: every record has a JSON form.
    pub(crate) fn text(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("every record has a JSON form")
    }

    /// What it tells the next life.
    pub(crate) fn past(&self) -> PriorRecord {
        let Some(keys) = &self.closed else {
            return PriorRecord::Open(self.routers.clone());
        };
        keys.unpack()
            .map_or(PriorRecord::Unreadable, PriorRecord::Closed)
    }
}
