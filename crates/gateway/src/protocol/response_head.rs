//! Parsed head of a server's response.

use mulberryyoke_decide::server_load::{InvalidReport, Report};

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
    /// Reported load, which may come from another server. See [`Self::verified_server_load`].
    pub server_load: Option<Result<Report, InvalidReport>>,
}

impl ResponseHead {
    /// The reported status if the response is known to come from the intended server; empty
    /// otherwise.
    #[must_use]
    pub fn verified_notice(&self) -> Notice {
        if self.is_verified() {
            self.notice
        } else {
            Notice::default()
        }
    }

    /// The reported load if the response is known to come from the intended server.
    #[must_use]
    pub fn verified_server_load(&self) -> Option<Result<Report, InvalidReport>> {
        self.server_load.filter(|_| self.is_verified())
    }

    const fn is_verified(&self) -> bool {
        match self.verification {
            Verification::Sealed | Verification::NotExecuted => true,
            Verification::WrongServer | Verification::Mismatched | Verification::Unverified => {
                false
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
