//! Reads request bodies with limits on size, time and memory.

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

/// Timeout of a whole body as a multiple of the head timeout, which also applies
/// between frames.
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
        return Err(body_too_large(max_bytes));
    }
    let frame_timeout = Duration::from_millis(core.settings.limits.head_ms);
    let deadline = Instant::now() + frame_timeout * BODY_TIMEOUT_FACTOR;
    let mut bytes = BytesMut::new();
    let mut memory = reserve_memory(core, 1)?;
    loop {
        let frame_deadline = deadline.min(Instant::now() + frame_timeout);
        let frame = timeout_at(frame_deadline, body.frame()).await;
        let Some(frame) = frame.map_err(|_| body_too_slow())? else {
            break;
        };
        let frame = frame.map_err(|error| body_unreadable(&error))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > max_bytes {
            return Err(body_too_large(max_bytes));
        }
        let needed_kib = (bytes.len() + data.len()) / BYTES_PER_KIB + 1;
        if needed_kib > memory.num_permits() {
            memory.merge(reserve_memory(core, needed_kib - memory.num_permits())?);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(BufferedBody {
        bytes: bytes.freeze(),
        memory,
    })
}

fn reserve_memory(core: &Core, kib: usize) -> Result<OwnedSemaphorePermit, Refusal> {
    let kib = u32::try_from(kib).unwrap_or(u32::MAX);
    let memory = Arc::clone(&core.body_memory);
    memory
        .try_acquire_many_owned(kib)
        .map_err(|_| bodies_full())
}

fn body_too_large(max_bytes: usize) -> Refusal {
    let message = format!("the body is larger than {max_bytes} bytes");
    Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
}

fn body_too_slow() -> Refusal {
    let message = "the body did not come in time";
    Refusal::new(StatusCode::REQUEST_TIMEOUT, "body_too_slow", message)
}

fn body_unreadable(error: &hyper::Error) -> Refusal {
    let message = format!("could not read body: {error}");
    Refusal::new(StatusCode::BAD_REQUEST, "body_unreadable", message)
}

fn bodies_full() -> Refusal {
    let message = "the router's memory for bodies is full";
    Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "bodies_full", message).retry_after(1)
}
