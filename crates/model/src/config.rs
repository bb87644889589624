//! The accepted configuration, ordered by the key-value service's revision.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Customer, Millis, Pool, Server};

/// Revision of the key-value service at which a value was written.
pub type Revision = u64;

/// Anything an operator configures.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Object {
    /// A customer.
    Customer(Customer),
    /// A pool.
    Pool(Pool),
    /// A server.
    Server(Server),
}

impl Object {
    /// Key below the configuration prefix, for example `customer/acme`.
    #[must_use]
    pub fn key(&self) -> String {
        match self {
            Self::Customer(customer) => format!("customer/{}", customer.name),
            Self::Pool(pool) => format!("pool/{}", pool.name),
            Self::Server(server) => format!("server/{}", server.name),
        }
    }
}

/// The value kept under one key of the key-value service, as JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Identity of the command that wrote it, to recognise one's own write.
    pub command: u64,
    /// Name of the operator.
    #[serde(default)]
    pub operator: String,
    /// When it was written.
    #[serde(default)]
    pub at: Millis,
    /// The command's words, without keys.
    #[serde(default)]
    pub words: String,
    /// What is configured; `None` once removed.
    pub object: Option<Object>,
    /// Writes that this one followed, newest first, as far as kept.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub earlier: Vec<Write>,
}

/// An earlier write of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Write {
    /// Revision of the write.
    pub revision: Revision,
    /// Identity of the command that wrote it.
    pub command: u64,
    /// Name of the operator.
    pub operator: String,
    /// When it was written.
    pub at: Millis,
    /// The command's words, without keys.
    pub words: String,
}

/// One accepted write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Key below the configuration prefix.
    pub key: String,
    /// Revision of the write.
    pub revision: Revision,
    /// What was written; `None` once removed.
    pub object: Option<Object>,
}

/// All accepted objects as of one revision. A node applies changes in revision
/// order and never a lower one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Highest revision applied; 0 before any.
    pub revision: Revision,
    /// The latest write of every key, removals included.
    pub changes: BTreeMap<String, Change>,
}

impl Config {
    /// Applies one write. Returns whether it was newer than what is held for its key.
    pub fn apply(&mut self, change: Change) -> bool {
        let held = self.changes.get(&change.key);
        if held.is_some_and(|held| held.revision >= change.revision) {
            return false;
        }
        self.revision = self.revision.max(change.revision);
        self.changes.insert(change.key.clone(), change);
        true
    }

    /// Writes newer than a revision, oldest first.
    #[must_use]
    pub fn since(&self, revision: Revision) -> Vec<Change> {
        let newer = self
            .changes
            .values()
            .filter(|change| change.revision > revision);
        let mut changes: Vec<Change> = newer.cloned().collect();
        changes.sort_by_key(|change| change.revision);
        changes
    }

    /// Every object held now.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.changes
            .values()
            .filter_map(|change| change.object.as_ref())
    }

    /// Every customer.
    pub fn customers(&self) -> impl Iterator<Item = &Customer> {
        self.objects().filter_map(|object| match object {
            Object::Customer(customer) => Some(customer),
            _ => None,
        })
    }

    /// Every pool.
    pub fn pools(&self) -> impl Iterator<Item = &Pool> {
        self.objects().filter_map(|object| match object {
            Object::Pool(pool) => Some(pool),
            _ => None,
        })
    }

    /// Every server, removed ones within the retention time included.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.objects().filter_map(|object| match object {
            Object::Server(server) => Some(server),
            _ => None,
        })
    }
}
