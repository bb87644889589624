//! What the head of a server's answer proves.

use super::Notice;

/// What the head of a server's answer proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// What became of the request.
    pub proof: Proof,
    /// The server will take no more requests on this connection.
    pub is_last: bool,
    /// How long the connection may be idle, in milliseconds.
    pub idle_ms: Option<u64>,
    /// How much longer the server is cold, in milliseconds, if it tells.
    pub cold_left_ms: Option<u64>,
    /// What the server says of itself, whoever it is.
    pub notice: Notice,
}

impl Reading {
    /// What the server that was meant says of itself: nothing, if the answer may be another's.
    #[must_use]
    pub fn proved(&self) -> Notice {
        match self.proof {
            Proof::Sealed | Proof::NotRun => self.notice,
            Proof::OtherServer | Proof::Crossed | Proof::Unproved => Notice::default(),
        }
    }
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// The answer is the server's own, as its seal shows.
    Sealed,
    /// The server says that it has not run the request and never will.
    NotRun,
    /// Another server has the address, and has not run the request.
    OtherServer,
    /// The answer names another request, so it belongs to that one.
    Crossed,
    /// None of these: whose answer it is cannot be told.
    Unproved,
}
