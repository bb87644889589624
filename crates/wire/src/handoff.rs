//! What two gateways say to each other before one takes over a caller's connection.

/// First bytes of a greeting. An address may meanwhile belong to a process that is no gateway.
const MARK: [u8; 8] = *b"handoff1";

/// Length of a greeting, in bytes.
pub const LENGTH: usize = 16;

/// A configuration's version: the least that callers were answered by, and in return the one
/// that is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Greeting {
    /// The version.
    pub version: u64,
}

impl Greeting {
    /// Its bytes.
    #[must_use]
    pub fn encode(self) -> [u8; LENGTH] {
        let mut bytes = [0; LENGTH];
        bytes[..8].copy_from_slice(&MARK);
        bytes[8..].copy_from_slice(&self.version.to_be_bytes());
        bytes
    }

    /// Reads one; `None` if it is none.
    #[must_use]
    pub fn decode(bytes: [u8; LENGTH]) -> Option<Self> {
        let (mark, version) = bytes.split_at(MARK.len());
        let version = version.try_into().ok().map(u64::from_be_bytes)?;
        (mark == MARK).then_some(Self { version })
    }
}
