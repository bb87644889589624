//! Rendezvous (highest random weight) hashing.

use xxhash_rust::xxh3::xxh3_64;

/// Weight of a candidate for a subject. The candidate with the highest weight is
/// chosen, so adding or removing a candidate only affects its own subjects.
pub(crate) fn weight(candidate: u64, subject: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&candidate.to_le_bytes());
    bytes[8..].copy_from_slice(&subject.to_le_bytes());
    xxh3_64(&bytes)
}
