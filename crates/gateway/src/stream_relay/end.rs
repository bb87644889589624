//! Why a stream ended.

use super::StreamRelay;
use crate::framing::Framing;
use crate::survival;

/// Why a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    Complete,
    Truncated,
    /// The server sends bytes that are no events.
    Garbled,
    /// No events until the stall deadline; another server is tried.
    Stalled,
    TimedOut,
    /// The caller closed the connection.
    CallerClosed,
    /// The gateway closed the caller's connection, because the caller reads too slowly.
    CallerCut,
    Stopping,
}

impl End {
    /// Label in logs and metrics.
    pub(super) const fn label(self) -> &'static str {
        match self {
            Self::Complete => "whole",
            Self::Truncated => "broken",
            Self::Garbled => "garbled",
            Self::Stalled => "stalled",
            Self::TimedOut => "late",
            Self::CallerClosed => "hung_up",
            Self::CallerCut => "cut",
            Self::Stopping => "stopping",
        }
    }

    /// Whether the server ended the stream before its last event, or has to be taken to have done so.
    pub(super) const fn is_broken(self) -> bool {
        matches!(self, Self::Truncated | Self::Garbled)
    }

    /// What the server did, in the log of its failures.
    pub(super) const fn failure(self) -> &'static str {
        match self {
            Self::Garbled => "stream garbled",
            _ => "stream truncated",
        }
    }
}

impl StreamRelay {
    /// Returns how a stream ended whose body has ended without an error. A connection that closes
    /// before the first event of a new stream proves nothing.
    pub(super) async fn end_of_body(&mut self) -> End {
        if !self.events.is_empty() {
            return End::Truncated;
        }
        if self.framing != Framing::Connection {
            return End::Complete;
        }
        if self.last_event.is_none() && self.relayed == 0 {
            return End::Truncated;
        }
        self.end_with_connection().await
    }

    /// Returns how a stream ended between two events with its connection. The caller may have had
    /// them all, or the server may have crashed.
    async fn end_with_connection(&mut self) -> End {
        if self.relayed > 0 {
            self.in_flight.release();
        }
        let (core, call) = (&self.core, &self.call);
        let backend = &self.in_flight.backend;
        let may_retry = self.attempts.has_attempts_left(call);
        let retry_at = self.stall_deadline().filter(|_| may_retry);
        tokio::select! {
            biased;
            () = self.chunks.closed() => self.caller_end(),
            is_proven = survival::is_proven(core, call, backend, retry_at) => {
                if is_proven { End::Complete } else { End::Truncated }
            }
            () = core.shutdown.terminate.cancelled() => End::Stopping,
        }
    }

    /// Returns why the caller's connection closed.
    pub(super) fn caller_end(&self) -> End {
        let account = self.call.account.as_ref();
        if account.is_some_and(|account| account.is_cut()) {
            return End::CallerCut;
        }
        End::CallerClosed
    }
}
