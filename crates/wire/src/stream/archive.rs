//! Values of the archive of origins in the key-value service.

use mulberryyoke_decide::stream::Origin;
use mulberryyoke_model::StreamId;
use serde::{Deserialize, Serialize};

use super::Entry;

/// Key prefix of the values.
pub const KEYS: &str = "mulberryyoke/origins/";

/// First byte of a value: its format.
const FORMAT: u8 = 1;

/// Milliseconds of the unit in which the remaining time is kept.
const UNIT_MS: u64 = 1_000;

#[derive(Default, Serialize, Deserialize)]
struct Value {
    /// Origins to which the rows refer by index; few differ.
    origins: Vec<Origin>,
    rows: Vec<Row>,
}

/// A stream in bytes of fixed size, the index of its origin, and the remaining time.
#[derive(Serialize, Deserialize)]
struct Row([u8; 8], u32, u64);

/// Encodes entries as one value.
#[must_use]
pub fn encode_value(entries: &[Entry]) -> Vec<u8> {
    let mut value = Value::default();
    for entry in entries {
        let index = index_of(&mut value.origins, entry.origin);
        let left = entry.left_ms.div_ceil(UNIT_MS);
        let row = Row(entry.stream.0.to_le_bytes(), index, left);
        value.rows.push(row);
    }
    let mut bytes = vec![FORMAT];
    bytes.extend(postcard::to_stdvec(&value).unwrap_or_default());
    bytes
}

fn index_of(origins: &mut Vec<Origin>, origin: Origin) -> u32 {
    let known = origins.iter().position(|known| *known == origin);
    let index = known.unwrap_or_else(|| {
        origins.push(origin);
        origins.len() - 1
    });
    u32::try_from(index).unwrap_or(u32::MAX)
}

/// Decodes a value; `None` if it is malformed.
#[must_use]
pub fn decode_value(bytes: &[u8]) -> Option<Vec<Entry>> {
    let value = bytes.strip_prefix(&[FORMAT])?;
    let (value, rest) = postcard::take_from_bytes::<Value>(value).ok()?;
    if !rest.is_empty() {
        return None;
    }
    let entries = value.rows.into_iter().map(|Row(stream, index, left)| {
        let origin = value.origins.get(usize::try_from(index).ok()?)?;
        Some(Entry {
            stream: StreamId(u64::from_le_bytes(stream)),
            origin: *origin,
            left_ms: left.saturating_mul(UNIT_MS),
        })
    });
    entries.collect()
}
