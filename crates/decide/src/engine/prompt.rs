//! Prompts as sequences of cacheable parts.

use std::fmt;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

/// A prompt part in its position: the prefix that ends with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Hash of the model and of all parts up to this one; the key in a server's prefix cache.
    pub key: u64,
    /// Length of this part alone, in tokens.
    pub tokens: u32,
}

/// Identity of a prompt part regardless of its position: a hash of model and part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartId(u64);

impl PartId {
    /// The identity of a part for a model.
    #[must_use]
    pub fn new(model: &str, part: u64) -> Self {
        Self(hash_pair(xxh3_64(model.as_bytes()), part))
    }

    /// The identity as a number.
    #[must_use]
    pub const fn as_u64(self) -> u64 {
        self.0
    }

    /// Parses the hexadecimal form that [`Display`](fmt::Display) writes.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let is_valid = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let digits = is_valid.then(|| u64::from_str_radix(text, 16).ok())?;
        digits.map(Self)
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

fn hash_pair(first: u64, second: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&first.to_le_bytes());
    bytes[8..].copy_from_slice(&second.to_le_bytes());
    xxh3_64(&bytes)
}

/// A prompt as described by its client.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts that other requests may share, in order.
    pub shared: SmallVec<[Part; 4]>,
    /// Identities of these parts, as servers report them.
    pub part_ids: SmallVec<[PartId; 4]>,
    /// Length of the whole prompt, in tokens.
    pub tokens: u32,
    /// Maximum number of generated tokens.
    pub max_output_tokens: u32,
    /// The client's estimate of the number of generated tokens.
    pub expected_output_tokens: Option<u32>,
}

impl Prompt {
    /// Builds a prompt from its parts. The last part belongs to the request alone and is not shared.
    pub fn from_parts(
        model: &str,
        parts: impl IntoIterator<Item = (u64, u32)>,
        max_output_tokens: u32,
    ) -> Self {
        let model = xxh3_64(model.as_bytes());
        let mut key = model;
        let mut tokens: u32 = 0;
        let mut shared = SmallVec::new();
        let mut part_ids = SmallVec::new();
        for (id, length) in parts {
            key = hash_pair(key, id);
            tokens = tokens.saturating_add(length);
            shared.push(Part {
                key,
                tokens: length,
            });
            part_ids.push(PartId(hash_pair(model, id)));
        }
        shared.pop();
        part_ids.pop();
        Self {
            shared,
            part_ids,
            tokens,
            max_output_tokens,
            expected_output_tokens: None,
        }
    }

    /// Key shared by requests that benefit from the same server's prefix cache.
    #[must_use]
    pub fn affinity_key(&self) -> Option<u64> {
        self.shared.last().map(|part| part.key)
    }

    /// Prompt tokens plus the maximum number of generated tokens.
    #[must_use]
    pub const fn cost(&self) -> u32 {
        self.tokens.saturating_add(self.max_output_tokens)
    }

    /// Tokens of the parts that other requests may share.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.shared.iter().map(|part| part.tokens).sum()
    }
}
