//! Passing a large answer on as it comes.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use crate::backend::InFlight;
use crate::call::Call;
use crate::clock;
use crate::connection_pool::Connection;
use crate::core::Core;
use crate::failure::fail;
use crate::protocol::ResponseHead;
use crate::quarantine;
use crate::response_body::BodyError;

/// Pieces that wait for the caller's connection; more hold the server up.
const PIECES: usize = 4;

/// Passes an answer on in a task of its own, until its end or until nobody reads it.
/// `begun` is what was read of it, `rest` where the rest comes from.
pub(crate) fn spawn(
    core: &Arc<Core>,
    call: &Arc<Call>,
    running: InFlight,
    (conn, reading): (Connection, ResponseHead),
    begun: Bytes,
    rest: Incoming,
) -> mpsc::Receiver<Result<Bytes, BodyError>> {
    let (pieces, receiver) = mpsc::channel(PIECES);
    let (core, call) = (Arc::clone(core), Arc::clone(call));
    tokio::spawn(async move {
        let passed = tokio::select! {
            () = pieces.closed() => return,
            passed = pass(&pieces, begun, rest) => passed,
            () = clock::wait_until(call.deadline_ms) => Err(BodyError::TimedOut),
            () = core.shutdown.terminate.cancelled() => Err(BodyError::Stopping),
        };
        match passed {
            Ok(()) => {
                quarantine::record_success(&core, || call.digest());
                running.complete(conn, reading);
            }
            Err(broken) => {
                fail(
                    &core,
                    &call,
                    &running,
                    "answer broke off",
                    &broken.to_string(),
                );
                // A caller that is gone has no use for it.
                let _ = pieces.send(Err(broken)).await;
                if broken == BodyError::Truncated {
                    quarantine::record_failure(&core, &call, &running).await;
                }
            }
        }
    });
    receiver
}

async fn pass(
    pieces: &mpsc::Sender<Result<Bytes, BodyError>>,
    begun: Bytes,
    mut rest: Incoming,
) -> Result<(), BodyError> {
    let mut piece = Some(begun);
    while let Some(bytes) = piece {
        // That nobody reads it is noticed by the task that calls.
        let _ = pieces.send(Ok(bytes)).await;
        let frame = rest.frame().await.transpose();
        let frame = frame.map_err(|_| BodyError::Truncated)?;
        piece = frame.map(|frame| frame.into_data().unwrap_or_default());
    }
    Ok(())
}
