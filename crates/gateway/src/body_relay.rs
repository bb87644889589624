//! Relays a large response body from a server to the caller.

use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::backend::InFlight;
use crate::buffers::{Chunk, Inlet, Outlet};
use crate::call::Call;
use crate::connection_pool::Connection;
use crate::core::Core;
use crate::protocol::ResponseHead;
use crate::response_body::BodyError;
use crate::{clock, failure, quarantine, survival};

/// Spawns a task that relays a response body to its end, or until the receiver is dropped.
/// `prefix` is the part that has been read already.
pub(crate) fn spawn(
    core: &Arc<Core>,
    call: &Arc<Call>,
    in_flight: InFlight,
    (conn, response_head): (Connection, ResponseHead),
    prefix: Chunk,
    remaining: Incoming,
) -> Inlet {
    let (chunks, inlet) = Outlet::new(call.account.as_ref());
    let (core, call) = (Arc::clone(core), Arc::clone(call));
    tokio::spawn(async move {
        let relayed = tokio::select! {
            () = chunks.closed() => return,
            relayed = async {
                relay(&chunks, prefix, remaining).await?;
                let is_whole = survival::is_whole(&core, &call, &in_flight, None).await;
                is_whole.then_some(()).ok_or(BodyError::Truncated)
            } => relayed,
            () = clock::wait_until(call.deadline_ms) => Err(BodyError::TimedOut),
            () = core.shutdown.terminate.cancelled() => Err(BodyError::Stopping),
        };
        match relayed {
            Ok(()) => {
                failure::log_connection_end(&core, &call, &in_flight);
                quarantine::record_success(&core, &call, &in_flight);
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
                chunks.fail(error).await;
                if error == BodyError::Truncated {
                    quarantine::record_failure(&core, &call, &in_flight).await;
                }
            }
        }
    });
    inlet
}

async fn relay(chunks: &Outlet, prefix: Chunk, mut remaining: Incoming) -> Result<(), BodyError> {
    // The calling task detects a dropped receiver.
    let _ = chunks.forward(Ok(prefix)).await;
    loop {
        chunks.wait_until_readable().await;
        let frame = remaining.frame().await.transpose();
        let Some(frame) = frame.map_err(|_| BodyError::Truncated)? else {
            return Ok(());
        };
        let _ = chunks.send(frame.into_data().unwrap_or_default()).await;
    }
}
