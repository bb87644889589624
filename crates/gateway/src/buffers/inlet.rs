//! Receiving end of a response body.

use std::task::{Context, Poll};

use tokio::sync::mpsc;

use super::Chunk;
use crate::response_body::BodyError;

/// Receiving end of a response body.
#[derive(Debug)]
pub(crate) enum Inlet {
    Bounded(mpsc::Receiver<Result<Chunk, BodyError>>),
    Accounted(mpsc::UnboundedReceiver<Result<Chunk, BodyError>>),
}

impl Inlet {
    pub(crate) fn poll_recv(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Chunk, BodyError>>> {
        match self {
            Self::Bounded(receiver) => receiver.poll_recv(cx),
            Self::Accounted(receiver) => receiver.poll_recv(cx),
        }
    }

    pub(crate) async fn recv(&mut self) -> Option<Result<Chunk, BodyError>> {
        match self {
            Self::Bounded(receiver) => receiver.recv().await,
            Self::Accounted(receiver) => receiver.recv().await,
        }
    }
}
