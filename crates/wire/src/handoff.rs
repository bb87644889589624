//! Handshake between two gateways before one hands a client connection off to the other.

/// Magic bytes at the start of a greeting. The address may meanwhile belong to a process that is
/// not a gateway.
const MAGIC: [u8; 8] = *b"handoff1";

/// As [`MAGIC`], if the sender's state is not fresh. Gateways that do not know it refuse the
/// handoff.
const STALE_MAGIC: [u8; 8] = *b"handoff2";

/// Length of a greeting, in bytes.
pub const LENGTH: usize = 16;

/// Message of the handshake. The request carries the newest configuration version that clients
/// were served with, the reply the receiver's current version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Greeting {
    /// Configuration version.
    pub version: u64,
    /// Whether the servers known to the sender are up to date.
    pub is_fresh: bool,
}

impl Greeting {
    /// Encodes the greeting.
    #[must_use]
    pub fn encode(self) -> [u8; LENGTH] {
        let mut bytes = [0; LENGTH];
        let magic = if self.is_fresh { MAGIC } else { STALE_MAGIC };
        bytes[..8].copy_from_slice(&magic);
        bytes[8..].copy_from_slice(&self.version.to_be_bytes());
        bytes
    }

    /// Decodes a greeting; `None` if the magic bytes are unknown.
    #[must_use]
    pub fn decode(bytes: [u8; LENGTH]) -> Option<Self> {
        let (magic, version) = bytes.split_at(MAGIC.len());
        let version = version.try_into().ok().map(u64::from_be_bytes)?;
        let is_fresh = magic == MAGIC;
        (is_fresh || magic == STALE_MAGIC).then_some(Self { version, is_fresh })
    }
}
