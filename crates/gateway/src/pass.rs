//! Passing a large answer on as it comes.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use crate::answer::Broken;
use crate::backend::Running;
use crate::call::Call;
use crate::clock;
use crate::conn::Conn;
use crate::core::Core;
use crate::failure::fail;
use crate::protocol::Reading;
use crate::quarantine;

/// Pieces that wait for the caller's connection; more hold the server up.
const PIECES: usize = 4;

/// Passes an answer on in a task of its own, until its end or until nobody reads it.
/// `begun` is what was read of it, `rest` where the rest comes from.
pub(crate) fn spawn(
    core: &Arc<Core>,
    call: &Arc<Call>,
    running: Running,
    (conn, reading): (Conn, Reading),
    begun: Bytes,
    rest: Incoming,
) -> mpsc::Receiver<Result<Bytes, Broken>> {
    let (pieces, receiver) = mpsc::channel(PIECES);
    let (core, call) = (Arc::clone(core), Arc::clone(call));
    tokio::spawn(async move {
        let passed = tokio::select! {
            () = pieces.closed() => return,
            passed = pass(&pieces, begun, rest) => passed,
            () = clock::wait_until(call.deadline) => Err(Broken::Late),
            () = core.shutdown.terminate.cancelled() => Err(Broken::Stopping),
        };
        match passed {
            Ok(()) => {
                quarantine::survived(&core, || call.digest());
                running.finish(conn, reading);
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
                if broken == Broken::Server {
                    quarantine::witness(&core, &call, &running).await;
                }
            }
        }
    });
    receiver
}

async fn pass(
    pieces: &mpsc::Sender<Result<Bytes, Broken>>,
    begun: Bytes,
    mut rest: Incoming,
) -> Result<(), Broken> {
    let mut piece = Some(begun);
    while let Some(bytes) = piece {
        // That nobody reads it is noticed by the task that calls.
        let _ = pieces.send(Ok(bytes)).await;
        let frame = rest.frame().await.transpose();
        let frame = frame.map_err(|_| Broken::Server)?;
        piece = frame.map(|frame| frame.into_data().unwrap_or_default());
    }
    Ok(())
}
