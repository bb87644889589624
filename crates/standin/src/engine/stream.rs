//! An answer while it is generated.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::{Stream as Events, StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::http::Body;

use super::prompt::Prompt;

/// One answer, generated once and read by any number of readers.
#[derive(Debug)]
pub(crate) struct Stream {
    pub(crate) prompt: Prompt,
    /// Index in the journal.
    pub(crate) run: usize,
    /// Cancels the generation.
    pub(crate) cancel: CancellationToken,
    /// Tokens generated so far.
    pub(crate) produced: watch::Sender<u32>,
    readers: AtomicUsize,
}

/// A reader's hold on a stream; the last one to go lets it end.
#[derive(Debug)]
struct Reader {
    stream: Arc<Stream>,
    keep: Duration,
}

impl Stream {
    pub(crate) fn new(prompt: Prompt, run: usize) -> Self {
        Self {
            prompt,
            run,
            cancel: CancellationToken::new(),
            produced: watch::Sender::new(0),
            readers: AtomicUsize::new(0),
        }
    }

    fn is_whole(&self) -> bool {
        *self.produced.borrow() == self.prompt.tokens
    }

    /// Waits until more than `seen` tokens are there; `None` once cancelled.
    async fn more(&self, seen: u32) -> Option<u32> {
        let mut produced = self.produced.subscribe();
        let more = produced.wait_for(|produced| *produced > seen);
        let more = self.cancel.run_until_cancelled(more).await?.ok()?;
        Some(*more)
    }
}

/// Reads a stream from a token on, as server-sent events. A cancelled stream
/// breaks the connection off.
pub(crate) fn events(stream: &Arc<Stream>, from: u32, keep: Duration) -> Body {
    let reader = Reader::open(stream, keep);
    let frames = chunks(reader, from).map(|chunk| chunk.map(Frame::data));
    StreamBody::new(frames).boxed_unsync()
}

/// Waits for a whole answer; `None` once cancelled.
pub(crate) async fn whole(stream: &Arc<Stream>) -> Option<serde_json::Value> {
    let _reader = Reader::open(stream, Duration::ZERO);
    stream.more(stream.prompt.tokens - 1).await?;
    Some(stream.prompt.whole())
}

fn chunks(reader: Reader, from: u32) -> impl Events<Item = io::Result<Bytes>> {
    stream::unfold((reader, Some(from)), async |(reader, next)| {
        let next = next?;
        let prompt = &reader.stream.prompt;
        if next >= prompt.tokens {
            return Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), (reader, None)));
        }
        let Some(produced) = reader.stream.more(next).await else {
            let error = io::Error::from(io::ErrorKind::ConnectionAborted);
            return Some((Err(error), (reader, None)));
        };
        let events: String = (next..produced).map(|index| prompt.event(index)).collect();
        Some((Ok(Bytes::from(events)), (reader, Some(produced))))
    })
}

impl Reader {
    fn open(stream: &Arc<Stream>, keep: Duration) -> Self {
        stream.readers.fetch_add(1, Ordering::AcqRel);
        Self {
            stream: Arc::clone(stream),
            keep,
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let others = self.stream.readers.fetch_sub(1, Ordering::AcqRel) - 1;
        if others > 0 || self.stream.is_whole() {
            return;
        }
        if self.keep.is_zero() {
            self.stream.cancel.cancel();
            return;
        }
        tokio::spawn(expire(Arc::clone(&self.stream), self.keep));
    }
}

/// Cancels a stream that still has no reader after a time.
async fn expire(stream: Arc<Stream>, keep: Duration) {
    tokio::time::sleep(keep).await;
    if stream.readers.load(Ordering::Acquire) == 0 && !stream.is_whole() {
        stream.cancel.cancel();
    }
}
