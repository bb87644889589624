//! Buffering of a response body.

use std::sync::Arc;

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::buffers::{Account, Chunk, Hold};

/// Maximum size of a buffered response body, in bytes. Larger bodies are relayed as they arrive.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// A response body, buffered up to [`MAX_BUFFERED_BYTES`].
pub(super) enum Collected {
    Complete(Chunk),
    /// The buffered prefix and the remaining body.
    Partial(Chunk, Incoming),
}

/// Buffers a body to its end, or until it exceeds [`MAX_BUFFERED_BYTES`].
pub(super) async fn collect(
    mut body: Incoming,
    account: Option<&Arc<Account>>,
) -> Result<Collected, hyper::Error> {
    let length = body.size_hint().exact();
    let length = length.and_then(|length| usize::try_from(length).ok());
    let length = length.filter(|length| *length <= MAX_BUFFERED_BYTES);
    let mut buffer = BytesMut::with_capacity(length.unwrap_or(0));
    let mut hold = account.map(|account| Hold::new(account, 0));
    while let Some(frame) = body.frame().await {
        let data = frame?.into_data().unwrap_or_default();
        buffer.extend_from_slice(&data);
        if let Some(hold) = &mut hold {
            hold.add(data.len());
        }
        if buffer.len() > MAX_BUFFERED_BYTES {
            return Ok(Collected::Partial(Chunk::new(buffer.freeze(), hold), body));
        }
    }
    Ok(Collected::Complete(Chunk::new(buffer.freeze(), hold)))
}
