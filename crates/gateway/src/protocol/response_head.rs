//! Parsed head of a server's response.

use super::Notice;

/// Parsed head of a server's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Origin of the response and whether the request ran.
    pub verification: Verification,
    /// Whether the server closes the connection after this response.
    pub closes_connection: bool,
    /// Idle timeout of the connection, in milliseconds.
    pub keep_alive_ms: Option<u64>,
    /// Remaining cold period of the server, in milliseconds.
    pub cold_left_ms: Option<u64>,
    /// Reported status, which may come from another server. See [`Self::verified_notice`].
    pub notice: Notice,
}

impl ResponseHead {
    /// The reported status if the response is known to come from the intended server; empty
    /// otherwise.
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

/// Origin of a response and whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verification {
    /// The seal shows that the response is from the intended server.
    Sealed,
    /// The server rejected the request without running it.
    NotExecuted,
    /// Another server uses the address and rejected the request without running it.
    WrongServer,
    /// The response has the ID of another request.
    Mismatched,
    /// The origin of the response is unknown.
    Unverified,
}
