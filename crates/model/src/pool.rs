//! Pools of interchangeable servers.

use serde::{Deserialize, Serialize};

/// Kind of backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Inference engines with an `OpenAI`-compatible API; cost is measured in tokens.
    Model,
    /// HTTP services; cost is declared per route.
    Service,
}

/// A method and path prefix of an HTTP service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP method in uppercase, or `*` for any.
    pub method: String,
    /// Path prefix, with the leading `/`.
    pub prefix: String,
    /// Whether requests are idempotent.
    pub idempotent: bool,
    /// Cost of a request, in tokens.
    pub cost: u32,
}

/// Configuration of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Unique name; for [`Kind::Model`], the model name in requests.
    pub name: String,
    /// Kind of backend.
    pub kind: Kind,
    /// Routes of an HTTP service; empty for a model.
    #[serde(default)]
    pub routes: Vec<Route>,
}
