//! Conditions of a transaction.

use std::cmp::Ordering;

use serde::Deserialize;

use crate::kv::number;
use crate::kv::value::Value;

/// A condition on one key.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Compare {
    #[serde(deserialize_with = "number::bytes")]
    pub key: Vec<u8>,
    #[serde(default)]
    target: Target,
    #[serde(default)]
    result: Relation,
    #[serde(
        default,
        alias = "createRevision",
        deserialize_with = "number::optional"
    )]
    create_revision: Option<u64>,
    #[serde(default, alias = "modRevision", deserialize_with = "number::optional")]
    mod_revision: Option<u64>,
    #[serde(default, deserialize_with = "number::optional")]
    version: Option<u64>,
    #[serde(default, deserialize_with = "number::optional")]
    lease: Option<u64>,
    #[serde(default, deserialize_with = "number::optional_bytes")]
    value: Option<Vec<u8>>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum Target {
    #[default]
    Version,
    Create,
    Mod,
    Value,
    Lease,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
enum Relation {
    #[default]
    Equal,
    Greater,
    Less,
    NotEqual,
}

impl Compare {
    /// Whether the condition holds for what is there now.
    pub(crate) fn holds(&self, held: Option<&Value>) -> bool {
        let ordering = match self.target {
            Target::Version => compare(held.map(|held| held.version), self.version),
            Target::Create => compare(held.map(|held| held.created), self.create_revision),
            Target::Mod => compare(held.map(|held| held.modified), self.mod_revision),
            Target::Lease => compare(held.map(|held| held.lease), self.lease),
            // A key that is not there has no value, so no condition on it holds.
            Target::Value => {
                let Some(held) = held else {
                    return false;
                };
                held.bytes.cmp(self.value.as_ref().unwrap_or(&Vec::new()))
            }
        };
        match self.result {
            Relation::Equal => ordering == Ordering::Equal,
            Relation::NotEqual => ordering != Ordering::Equal,
            Relation::Greater => ordering == Ordering::Greater,
            Relation::Less => ordering == Ordering::Less,
        }
    }
}

fn compare(held: Option<u64>, expected: Option<u64>) -> Ordering {
    held.unwrap_or(0).cmp(&expected.unwrap_or(0))
}
