//! Responses that are being generated.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::http::Body;

use super::prompt::Prompt;

/// A response, generated once for any number of readers.
#[derive(Debug)]
pub(crate) struct Stream {
    pub(crate) prompt: Prompt,
    /// Index of the run in the journal.
    pub(crate) run: usize,
    /// Cancels the generation.
    pub(crate) cancel: CancellationToken,
    /// Tokens generated so far.
    pub(crate) generated: watch::Sender<u32>,
    readers: AtomicUsize,
}

/// Reader of a stream. Dropping the last one cancels the stream after the resume timeout.
#[derive(Debug)]
struct Reader {
    stream: Arc<Stream>,
    resume_timeout: Duration,
}

impl Stream {
    pub(crate) fn new(prompt: Prompt, run: usize) -> Self {
        Self {
            prompt,
            run,
            cancel: CancellationToken::new(),
            generated: watch::Sender::new(0),
            readers: AtomicUsize::new(0),
        }
    }

    fn is_complete(&self) -> bool {
        *self.generated.borrow() == self.prompt.tokens
    }

    /// Waits until more than `seen` tokens are generated and returns their number, or `None` if
    /// the stream is cancelled.
    async fn wait_for_tokens(&self, seen: u32) -> Option<u32> {
        let mut generated = self.generated.subscribe();
        let more = generated.wait_for(|generated| *generated > seen);
        let more = self.cancel.run_until_cancelled(more).await?.ok()?;
        Some(*more)
    }
}

/// Response body with the server-sent events from token `from` on. Cancellation of the stream
/// aborts the connection.
pub(crate) fn events(stream: &Arc<Stream>, from: u32, resume_timeout: Duration) -> Body {
    let reader = Reader::open(stream, resume_timeout);
    let frames = chunks(reader, from).map(|chunk| chunk.map(Frame::data));
    StreamBody::new(frames).boxed_unsync()
}

/// Waits for the complete response; `None` if the stream is cancelled.
pub(crate) async fn completion(stream: &Arc<Stream>) -> Option<serde_json::Value> {
    let _reader = Reader::open(stream, Duration::ZERO);
    stream.wait_for_tokens(stream.prompt.tokens - 1).await?;
    Some(stream.prompt.completion())
}

fn chunks(reader: Reader, from: u32) -> impl futures::Stream<Item = io::Result<Bytes>> {
    stream::unfold((reader, Some(from)), async |(reader, next)| {
        let next = next?;
        let prompt = &reader.stream.prompt;
        if next >= prompt.tokens {
            return Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), (reader, None)));
        }
        let Some(generated) = reader.stream.wait_for_tokens(next).await else {
            let error = io::Error::from(io::ErrorKind::ConnectionAborted);
            return Some((Err(error), (reader, None)));
        };
        let events: String = (next..generated).map(|index| prompt.event(index)).collect();
        Some((Ok(Bytes::from(events)), (reader, Some(generated))))
    })
}

impl Reader {
    fn open(stream: &Arc<Stream>, resume_timeout: Duration) -> Self {
        stream.readers.fetch_add(1, Ordering::AcqRel);
        Self {
            stream: Arc::clone(stream),
            resume_timeout,
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let others = self.stream.readers.fetch_sub(1, Ordering::AcqRel) - 1;
        if others > 0 || self.stream.is_complete() {
            return;
        }
        if self.resume_timeout.is_zero() {
            self.stream.cancel.cancel();
            return;
        }
        tokio::spawn(cancel_if_unread(
            Arc::clone(&self.stream),
            self.resume_timeout,
        ));
    }
}

/// Cancels a stream if it still has no reader after the timeout.
async fn cancel_if_unread(stream: Arc<Stream>, timeout: Duration) {
    tokio::time::sleep(timeout).await;
    if stream.readers.load(Ordering::Acquire) == 0 && !stream.is_complete() {
        stream.cancel.cancel();
    }
}
