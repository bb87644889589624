//! Calls to sources, and their answers.

use std::net::SocketAddr;

use mulberryyoke_decide::failover;
use mulberryyoke_platform::kv::Position;
use mulberryyoke_wire::relay::Batch;

use super::failure::Failure;

/// A source of the contents.
pub(super) type Source = failover::Source<SocketAddr>;

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Request {
    /// Every key.
    List,
    /// The writes after a position.
    Changes {
        after: Position,
        /// Longest time that the source waits for writes, in milliseconds.
        wait_ms: u64,
    },
}

/// A call to a source.
#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    pub(super) selected: failover::Call<SocketAddr>,
    pub(super) request: Request,
    /// Maximum size of the answer, in bytes.
    pub(super) max_bytes: usize,
    /// When it was made, in milliseconds of [`crate::clock::now_ms`].
    pub(super) started_ms: u64,
}

impl Call {
    pub(super) const fn source(&self) -> Source {
        self.selected.source
    }
}

/// Answer of a source.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) batch: Batch,
    /// For how long the source of the source still counts as having current data, in milliseconds;
    /// `None` if a source of an earlier release does not tell.
    pub(super) current_for_ms: Option<u64>,
}

impl Answer {
    /// Whether the data is current.
    pub(super) fn is_current(&self) -> bool {
        self.current_for_ms != Some(0)
    }
}

/// A call that has ended.
#[derive(Debug)]
pub(super) struct Outcome {
    pub(super) call: Call,
    pub(super) result: Result<Answer, Failure>,
}
