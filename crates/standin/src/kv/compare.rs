//! Conditions of a transaction. Only those of equality are carried out.

use serde::Deserialize;

use crate::kv::number;
use crate::kv::value::Value;

/// A condition on one key.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Compare {
    #[serde(deserialize_with = "number::bytes")]
    pub key: Vec<u8>,
    target: Target,
    result: Relation,
    #[serde(alias = "createRevision", deserialize_with = "number::number")]
    create_revision: u64,
    #[serde(alias = "modRevision", deserialize_with = "number::number")]
    mod_revision: u64,
    #[serde(deserialize_with = "number::number")]
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
    /// Whether the condition holds for what is there now.
    pub(crate) fn holds(&self, held: Option<&Value>) -> bool {
        let Relation::Equal = self.result;
        match self.target {
            Target::Version => held.map_or(0, |held| held.version) == self.version,
            Target::Create => held.map_or(0, |held| held.created) == self.create_revision,
            Target::Mod => held.map_or(0, |held| held.modified) == self.mod_revision,
        }
    }
}
