//! What a conviction is held against.

use std::fmt;

use mulberryyoke_decide::engine::PartId;
use mulberryyoke_decide::quarantine::parts::{Subject, digest};
use mulberryyoke_model::{Digest, VersionId};

/// Prefix of the keys of convictions in the key-value service, followed by the digest of a request
/// in hexadecimal.
const KEY_PREFIX: &str = "mulberryyoke/quarantine/";

/// What follows the prefix for a prompt part, before the part in hexadecimal and the version.
const PART_PREFIX: &str = "part/";

/// What a conviction is held against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Culprit {
    /// A request.
    Request(Digest),
    /// A prompt part at one version.
    Part(Subject),
}

impl Culprit {
    /// Parses the key of a conviction; `None` for other keys.
    pub(crate) fn parse_key(key: &str) -> Option<Self> {
        let name = key.strip_prefix(KEY_PREFIX)?;
        let Some(name) = name.strip_prefix(PART_PREFIX) else {
            return Digest::parse(name).map(Self::Request);
        };
        let (part, version) = name.split_once('-')?;
        Some(Self::Part(Subject {
            part: PartId::parse(part)?,
            version: VersionId(version.parse().ok()?),
        }))
    }

    /// Key of its conviction.
    pub(super) fn key(self) -> String {
        match self {
            Self::Request(_) => format!("{KEY_PREFIX}{self}"),
            Self::Part(_) => format!("{KEY_PREFIX}{PART_PREFIX}{self}"),
        }
    }

    /// Digest by which its arbiter is chosen.
    pub(super) fn digest(self) -> Digest {
        match self {
            Self::Request(request) => request,
            Self::Part(subject) => digest(subject.part),
        }
    }
}

impl fmt::Display for Culprit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(request) => request.fmt(formatter),
            Self::Part(Subject { part, version }) => write!(formatter, "{part}-{}", version.0),
        }
    }
}
