//! Keys of the records of versions.

use std::fmt;

use mulberryyoke_decide::stream::PoolVersion;
use mulberryyoke_model::{PoolId, VersionId};

/// Prefix of all of them.
const PREFIX: &str = "mulberryyoke/versions/";

/// Rest of the key of [`Key::Mark`].
const MARK: &str = "era";

/// Number of characters of an identifier.
const ID_CHARS: usize = 8;

/// A key below the prefix of the records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Key {
    /// A version on which streams may have begun.
    Version(PoolVersion),
    /// The era in which the records are complete.
    Mark,
}

impl Key {
    /// Parses a key; `None` if it is another one.
    pub(super) fn parse(key: &str) -> Option<Self> {
        let rest = key.strip_prefix(PREFIX)?;
        if rest == MARK {
            return Some(Self::Mark);
        }
        let (pool, version) = rest.split_once('/')?;
        let version = (PoolId(parse_id(pool)?), VersionId(parse_id(version)?));
        Some(Self::Version(version))
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Version((pool, version)) => write!(f, "{PREFIX}{:08x}/{:08x}", pool.0, version.0),
            Self::Mark => write!(f, "{PREFIX}{MARK}"),
        }
    }
}

fn parse_id(text: &str) -> Option<u32> {
    let is_canonical = text.len() == ID_CHARS && text.bytes().all(is_hex);
    is_canonical
        .then(|| u32::from_str_radix(text, 16).ok())
        .flatten()
}

const fn is_hex(byte: u8) -> bool {
    matches!(byte, b'0'..=b'9' | b'a'..=b'f')
}
