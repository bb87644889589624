//! What the head of a server's answer proves.

use super::Notice;

/// What the head of a server's answer proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// What became of the request.
    pub verification: Verification,
    /// The server will take no more requests on this connection.
    pub closes_connection: bool,
    /// How long the connection may be idle, in milliseconds.
    pub keep_alive_ms: Option<u64>,
    /// How much longer the server is cold, in milliseconds, if it tells.
    pub cold_left_ms: Option<u64>,
    /// What the server says of itself, whoever it is.
    pub notice: Notice,
}

impl ResponseHead {
    /// What the server that was meant says of itself: nothing, if the answer may be another's.
    #[must_use]
    pub fn verified_notice(&self) -> Notice {
        match self.verification {
            Verification::Sealed | Verification::NotExecuted => self.notice,
            Verification::WrongServer | Verification::Mismatched | Verification::Unverified => {
                Notice::default()
            }
        }
    }
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verification {
    /// The answer is the server's own, as its seal shows.
    Sealed,
    /// The server says that it has not run the request and never will.
    NotExecuted,
    /// Another server has the address, and has not run the request.
    WrongServer,
    /// The answer names another request, so it belongs to that one.
    Mismatched,
    /// None of these: whose answer it is cannot be told.
    Unverified,
}
