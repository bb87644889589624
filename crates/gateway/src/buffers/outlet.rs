//! Sending end of a response body.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::{Account, Chunk, Hold, Inlet};
use crate::response_body::BodyError;

/// Maximum number of chunks buffered for a caller without an account.
const CHANNEL_CAPACITY: usize = 4;

/// Memory that a chunk takes in addition to its bytes: its place in the channel and the
/// allocator's header.
const CHUNK_OVERHEAD: usize = 80;

/// Interval between checks whether a response may be read on, since its share also grows by what
/// other callers take.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The receiving end was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Closed;

/// Sending end of a response body.
#[derive(Clone, Debug)]
pub(crate) enum Outlet {
    /// A fixed number of chunks is held; the sender waits for the caller.
    Bounded(mpsc::Sender<Result<Chunk, BodyError>>),
    /// Chunks are held and accounted; the sender pauses reading when [`Outlet::may_read`] is
    /// `false`.
    Accounted(
        mpsc::UnboundedSender<Result<Chunk, BodyError>>,
        Arc<Account>,
    ),
}

impl Outlet {
    /// Creates both ends of a response body. From now on the caller is cut if it stalls.
    pub(crate) fn new(account: Option<&Arc<Account>>) -> (Self, Inlet) {
        let Some(account) = account else {
            let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
            return (Self::Bounded(sender), Inlet::Bounded(receiver));
        };
        account.offer();
        let (sender, receiver) = mpsc::unbounded_channel();
        let outlet = Self::Accounted(sender, Arc::clone(account));
        (outlet, Inlet::Accounted(receiver))
    }

    /// Sends a part of the body.
    pub(crate) async fn send(&self, bytes: Bytes) -> Result<(), Closed> {
        let chunk = match self {
            Self::Bounded(_) => Chunk::new(bytes, None),
            Self::Accounted(_, account) => {
                let hold = Hold::new(account, bytes.len() + CHUNK_OVERHEAD);
                // A copy, because the read buffer of the server's connection, of which this is a
                // part, is a multiple of an event's size and would be kept as a whole.
                Chunk::new(Bytes::copy_from_slice(&bytes), Some(hold))
            }
        };
        self.forward(Ok(chunk)).await
    }

    /// Sends the error that ends the body.
    pub(crate) async fn fail(&self, error: BodyError) {
        // The receiver may be gone.
        let _ = self.forward(Err(error)).await;
    }

    /// Sends a chunk that is accounted already, or an error.
    pub(crate) async fn forward(&self, chunk: Result<Chunk, BodyError>) -> Result<(), Closed> {
        match self {
            Self::Bounded(sender) => sender.send(chunk).await.map_err(|_| Closed),
            Self::Accounted(sender, _) => sender.send(chunk).map_err(|_| Closed),
        }
    }

    /// Waits until the receiving end is dropped.
    pub(crate) async fn closed(&self) {
        match self {
            Self::Bounded(sender) => sender.closed().await,
            Self::Accounted(sender, _) => sender.closed().await,
        }
    }

    /// Returns whether more may be read from the server.
    pub(crate) fn may_read(&self) -> bool {
        match self {
            Self::Bounded(_) => true,
            Self::Accounted(_, account) => account.may_read(),
        }
    }

    /// Waits until more may be read from the server.
    pub(crate) async fn wait_until_readable(&self) {
        let Self::Accounted(_, account) = self else {
            return;
        };
        while !account.may_read() {
            tokio::select! {
                () = account.taken.notified() => {}
                () = sleep(CHECK_INTERVAL) => {}
            }
        }
    }
}
