//! A prompt by its parts.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

/// A part of a prompt, together with all parts before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Hash of the model, the parts before and the part itself: a server that
    /// keeps a part under this key need not read it again.
    pub key: u64,
    /// Length of the part alone, in tokens.
    pub tokens: u32,
}

/// A prompt part by itself, whatever comes before it: a hash of model and part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PartId(u64);

impl PartId {
    /// The name of a model's part.
    #[must_use]
    pub fn new(model: &str, part: u64) -> Self {
        Self(join(xxh3_64(model.as_bytes()), part))
    }
}

fn join(before: u64, part: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&before.to_le_bytes());
    bytes[8..].copy_from_slice(&part.to_le_bytes());
    xxh3_64(&bytes)
}

/// A prompt as its caller describes it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts that other requests may share, in order.
    pub shared: SmallVec<[Part; 4]>,
    /// Names of these parts, as servers list them.
    pub part_ids: SmallVec<[PartId; 4]>,
    /// Length of the whole prompt, in tokens.
    pub tokens: u32,
    /// Most tokens to be generated.
    pub max_output_tokens: u32,
}

impl Prompt {
    /// Reads a prompt's parts; the last part is the request's own and not shared.
    pub fn from_parts(
        model: &str,
        parts: impl IntoIterator<Item = (u64, u32)>,
        output: u32,
    ) -> Self {
        let model = xxh3_64(model.as_bytes());
        let mut key = model;
        let mut tokens: u32 = 0;
        let mut shared = SmallVec::new();
        let mut names = SmallVec::new();
        for (id, length) in parts {
            key = join(key, id);
            tokens = tokens.saturating_add(length);
            shared.push(Part {
                key,
                tokens: length,
            });
            names.push(PartId(join(model, id)));
        }
        shared.pop();
        names.pop();
        Self {
            shared,
            part_ids: names,
            tokens,
            max_output_tokens: output,
        }
    }

    /// The key by which requests gain from going to the same server.
    #[must_use]
    pub fn affinity_key(&self) -> Option<u64> {
        self.shared.last().map(|part| part.key)
    }

    /// What it takes of the servers: tokens to be read and most to be generated.
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
