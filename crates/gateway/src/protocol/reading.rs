//! What the head of a server's answer proves.

use super::Load;

/// What the head of a server's answer proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// The server says that it has not run the request and never will.
    pub is_not_run: bool,
    /// Another server has the address.
    pub is_other_server: bool,
    /// The answer bears the server's seal.
    pub is_sealed: bool,
    /// The answer names another request, so it belongs to that one.
    pub is_crossed: bool,
    /// The server will take no more requests on this connection.
    pub is_last: bool,
    /// How long the connection may be idle, in milliseconds.
    pub idle_ms: Option<u64>,
    /// What the server tells of its load.
    pub load: Option<Load>,
}
