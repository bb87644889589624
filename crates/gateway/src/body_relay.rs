//! Relays a large response body from a server to the caller.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use crate::backend::InFlight;
use crate::call::Call;
use crate::connection_pool::Connection;
use crate::core::Core;
use crate::protocol::ResponseHead;
use crate::response_body::BodyError;
use crate::{clock, failure, quarantine};

/// Maximum number of chunks buffered for the caller before the server is slowed down.
const CHANNEL_CAPACITY: usize = 4;

/// Spawns a task that relays a response body to its end, or until the receiver is dropped.
/// `prefix` is the part that has been read already.
pub(crate) fn spawn(
    core: &Arc<Core>,
    call: &Arc<Call>,
    in_flight: InFlight,
    (conn, response_head): (Connection, ResponseHead),
    prefix: Bytes,
    remaining: Incoming,
) -> mpsc::Receiver<Result<Bytes, BodyError>> {
    let (chunks, receiver) = mpsc::channel(CHANNEL_CAPACITY);
    let (core, call) = (Arc::clone(core), Arc::clone(call));
    tokio::spawn(async move {
        let relayed = tokio::select! {
            () = chunks.closed() => return,
            relayed = relay(&chunks, prefix, remaining) => relayed,
            () = clock::wait_until(call.deadline_ms) => Err(BodyError::TimedOut),
            () = core.shutdown.terminate.cancelled() => Err(BodyError::Stopping),
        };
        match relayed {
            Ok(()) => {
                quarantine::record_success(&core, || call.digest());
                in_flight.complete(conn, response_head);
            }
            Err(error) => {
                failure::record(
                    &core,
                    &call,
                    &in_flight,
                    "response truncated",
                    &error.to_string(),
                );
                // The receiver may be gone.
                let _ = chunks.send(Err(error)).await;
                if error == BodyError::Truncated {
                    quarantine::record_failure(&core, &call, &in_flight).await;
                }
            }
        }
    });
    receiver
}

async fn relay(
    chunks: &mpsc::Sender<Result<Bytes, BodyError>>,
    prefix: Bytes,
    mut remaining: Incoming,
) -> Result<(), BodyError> {
    let mut chunk = Some(prefix);
    while let Some(bytes) = chunk {
        // The calling task detects a dropped receiver.
        let _ = chunks.send(Ok(bytes)).await;
        let frame = remaining.frame().await.transpose();
        let frame = frame.map_err(|_| BodyError::Truncated)?;
        chunk = frame.map(|frame| frame.into_data().unwrap_or_default());
    }
    Ok(())
}
