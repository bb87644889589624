//! Pools of servers that answer the same requests.

use serde::{Deserialize, Serialize};

/// What stands behind the servers of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Model engines with the `OpenAI`-compatible interface; cost is counted in tokens.
    Model,
    /// Plain services; cost is declared per route.
    Service,
}

/// A method and path prefix of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP method in upper case, or `*` for any.
    pub method: String,
    /// Path prefix, from the first `/`.
    pub prefix: String,
    /// Whether a call may be repeated without harm.
    pub idempotent: bool,
    /// Cost of one call, in tokens.
    pub cost: u32,
}

/// A pool as configured.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Unique name; for [`Kind::Model`] the model name that callers send.
    pub name: String,
    /// What stands behind the servers.
    pub kind: Kind,
    /// Routes of a plain service; empty for a model.
    #[serde(default)]
    pub routes: Vec<Route>,
}
