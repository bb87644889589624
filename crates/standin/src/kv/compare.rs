//! Conditions of a transaction. Only equality is supported.

use serde::Deserialize;

use crate::kv::encoding;
use crate::kv::value::Value;

/// A condition on one key.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Compare {
    #[serde(deserialize_with = "encoding::bytes")]
    pub key: Vec<u8>,
    target: Target,
    result: Relation,
    #[serde(alias = "createRevision", deserialize_with = "encoding::number")]
    create_revision: u64,
    #[serde(alias = "modRevision", deserialize_with = "encoding::number")]
    mod_revision: u64,
    #[serde(deserialize_with = "encoding::number")]
    version: u64,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum Target {
    #[default]
    Version,
    Create,
    Mod,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum Relation {
    #[default]
    Equal,
}

impl Compare {
    /// Whether the condition holds for the current value of the key.
    pub(crate) fn holds(&self, current: Option<&Value>) -> bool {
        let Relation::Equal = self.result;
        match self.target {
            Target::Version => current.map_or(0, |value| value.version) == self.version,
            Target::Create => current.map_or(0, |value| value.created) == self.create_revision,
            Target::Mod => current.map_or(0, |value| value.modified) == self.mod_revision,
        }
    }
}
