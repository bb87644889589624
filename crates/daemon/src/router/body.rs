//! Reading callers' bodies, bounded in size, time and memory.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, timeout_at};

use super::core::Core;
use super::refusal::Refusal;

const BYTES_PER_KIB: usize = 1 << 10;

/// Longest time for a whole body, in multiples of that for a head; no pause in it
/// may be longer than for a head.
const WHOLE: u32 = 12;

/// A caller's body with its portion of the router's memory for bodies.
#[derive(Debug)]
pub(crate) struct Whole {
    pub(crate) bytes: Bytes,
    pub(crate) memory: OwnedSemaphorePermit,
}

/// Reads a body to its end.
pub(crate) async fn read(core: &Arc<Core>, mut body: Incoming) -> Result<Whole, Refusal> {
    let most = core.settings.limits.body_bytes;
    if body.size_hint().lower() > most as u64 {
        return Err(too_large(most));
    }
    let pause = Duration::from_millis(core.settings.limits.head_ms);
    let last = Instant::now() + pause * WHOLE;
    let mut bytes = BytesMut::new();
    let mut memory = reserve(core, 1)?;
    loop {
        let until = last.min(Instant::now() + pause);
        let frame = timeout_at(until, body.frame()).await;
        let Some(frame) = frame.map_err(|_| too_slow())? else {
            break;
        };
        let frame = frame.map_err(|error| broken(&error))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > most {
            return Err(too_large(most));
        }
        let needed = (bytes.len() + data.len()) / BYTES_PER_KIB + 1;
        if needed > memory.num_permits() {
            memory.merge(reserve(core, needed - memory.num_permits())?);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(Whole {
        bytes: bytes.freeze(),
        memory,
    })
}

fn reserve(core: &Core, kib: usize) -> Result<OwnedSemaphorePermit, Refusal> {
    let kib = u32::try_from(kib).unwrap_or(u32::MAX);
    let bodies = Arc::clone(&core.bodies);
    bodies.try_acquire_many_owned(kib).map_err(|_| crowded())
}

fn too_large(most: usize) -> Refusal {
    let message = format!("the body is larger than {most} bytes");
    Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
}

fn too_slow() -> Refusal {
    let message = "the body did not come in time";
    Refusal::new(StatusCode::REQUEST_TIMEOUT, "body_too_slow", message)
}

fn broken(error: &hyper::Error) -> Refusal {
    let message = format!("could not read body: {error}");
    Refusal::new(StatusCode::BAD_REQUEST, "body_unreadable", message)
}

fn crowded() -> Refusal {
    let message = "the router's memory for bodies is full";
    Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "bodies_full", message).retry_after(1)
}
