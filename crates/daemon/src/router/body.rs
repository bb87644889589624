//! Reads request bodies within limits of size, time and memory.

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

/// Timeout of a whole body, in multiples of the head timeout, which also limits
/// the time between frames.
const BODY_TIMEOUT_FACTOR: u32 = 12;

/// A request body and the memory reserved for it.
#[derive(Debug)]
pub(crate) struct BufferedBody {
    pub(crate) bytes: Bytes,
    pub(crate) memory: OwnedSemaphorePermit,
}

/// Reads a whole body.
pub(crate) async fn read(core: &Arc<Core>, mut body: Incoming) -> Result<BufferedBody, Refusal> {
    let max_bytes = core.settings.limits.body_bytes;
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(too_large(max_bytes));
    }
    let pause = Duration::from_millis(core.settings.limits.head_ms);
    let last = Instant::now() + pause * BODY_TIMEOUT_FACTOR;
    let mut bytes = BytesMut::new();
    let mut memory = reserve(core, 1)?;
    loop {
        let until = last.min(Instant::now() + pause);
        let frame = timeout_at(until, body.frame()).await;
        let Some(frame) = frame.map_err(|_| too_slow())? else {
            break;
        };
        let frame = frame.map_err(|error| unreadable(&error))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > max_bytes {
            return Err(too_large(max_bytes));
        }
        let needed = (bytes.len() + data.len()) / BYTES_PER_KIB + 1;
        if needed > memory.num_permits() {
            memory.merge(reserve(core, needed - memory.num_permits())?);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(BufferedBody {
        bytes: bytes.freeze(),
        memory,
    })
}

fn reserve(core: &Core, kib: usize) -> Result<OwnedSemaphorePermit, Refusal> {
    let kib = u32::try_from(kib).unwrap_or(u32::MAX);
    let memory = Arc::clone(&core.body_memory);
    memory
        .try_acquire_many_owned(kib)
        .map_err(|_| memory_full())
}

fn too_large(max_bytes: usize) -> Refusal {
    let message = format!("the body is larger than {max_bytes} bytes");
    Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
}

fn too_slow() -> Refusal {
    let message = "the body did not come in time";
    Refusal::new(StatusCode::REQUEST_TIMEOUT, "body_too_slow", message)
}

fn unreadable(error: &hyper::Error) -> Refusal {
    let message = format!("could not read body: {error}");
    Refusal::new(StatusCode::BAD_REQUEST, "body_unreadable", message)
}

fn memory_full() -> Refusal {
    let message = "the router's memory for bodies is full";
    Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "bodies_full", message).retry_after(1)
}
