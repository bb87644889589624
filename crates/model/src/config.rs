//! Accepted configuration, ordered by revision of the key-value service.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Customer, Millis, Pool, Server};

/// Revision of the key-value service.
pub type Revision = u64;

/// A configuration object.
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
    /// Key under the configuration prefix, for example `customer/acme`.
    #[must_use]
    pub fn key(&self) -> String {
        match self {
            Self::Customer(customer) => format!("customer/{}", customer.name),
            Self::Pool(pool) => format!("pool/{}", pool.name),
            Self::Server(server) => format!("server/{}", server.name),
        }
    }
}

/// JSON value of a key in the key-value service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Identity of the command that wrote it; lets a writer recognize its own write.
    pub command: u64,
    /// Name of the operator.
    #[serde(default)]
    pub operator: String,
    /// Time of the write.
    #[serde(default)]
    pub at: Millis,
    /// Text of the command, without keys.
    #[serde(default)]
    pub words: String,
    /// The object; `None` if it was removed.
    pub object: Option<Object>,
    /// Recent earlier writes, newest first.
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
    /// Time of the write.
    pub at: Millis,
    /// Text of the command, without keys.
    pub words: String,
}

/// An accepted write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Key under the configuration prefix.
    pub key: String,
    /// Revision of the write.
    pub revision: Revision,
    /// The object; `None` if it was removed.
    pub object: Option<Object>,
}

/// All accepted objects as of a revision. For each key, only newer changes are applied.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Highest applied revision; 0 if none.
    pub revision: Revision,
    /// Latest write of each key, including removals.
    pub changes: BTreeMap<String, Change>,
}

impl Config {
    /// Applies a write; returns `false` if it is not newer than the current one of its key.
    pub fn apply(&mut self, change: Change) -> bool {
        let current = self.changes.get(&change.key);
        if current.is_some_and(|current| current.revision >= change.revision) {
            return false;
        }
        self.revision = self.revision.max(change.revision);
        self.changes.insert(change.key.clone(), change);
        true
    }

    /// Writes newer than a revision, in revision order.
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

    /// All current objects.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.changes
            .values()
            .filter_map(|change| change.object.as_ref())
    }

    /// All customers.
    pub fn customers(&self) -> impl Iterator<Item = &Customer> {
        self.objects().filter_map(|object| match object {
            Object::Customer(customer) => Some(customer),
            _ => None,
        })
    }

    /// All pools.
    pub fn pools(&self) -> impl Iterator<Item = &Pool> {
        self.objects().filter_map(|object| match object {
            Object::Pool(pool) => Some(pool),
            _ => None,
        })
    }

    /// All servers, including removed ones within the retention time.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.objects().filter_map(|object| match object {
            Object::Server(server) => Some(server),
            _ => None,
        })
    }
}
