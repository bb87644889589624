//! Copy of the key-value service's contents, served to peers that do not call the service.
//!
//! Its size is bounded in bytes by a fraction of the process's memory, whatever is written: only the
//! latest write of a key is kept, each value is shared with the answers that carry it, and the
//! oldest deletions are forgotten. A peer that is behind these lists every key. Contents that do
//! not fit are not kept, and peers ask another source.

mod answer;
mod held;
mod log;
mod message;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use mulberryyoke_event::slog::Logger;
use mulberryyoke_event::{Event, log};
use mulberryyoke_platform::kv::{Position, Revision};
use mulberryyoke_wire::relay::{Batch, Write};
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::timeout;

pub(crate) use self::answer::Answer;
use self::held::Held;
use self::log::Log;
pub(crate) use self::message::Message;
use crate::memory;

/// Divisor of the bytes of the contents that gives those of the deletions.
const DELETIONS_DIVISOR: usize = 8;

/// Copy of the key-value service's contents.
#[derive(Debug)]
pub(crate) struct Mirror {
    logger: Logger,
    /// Maximum size of the contents, in bytes.
    max_bytes: AtomicUsize,
    inner: Mutex<Inner>,
    /// The values of the contents, and of answers with superseded ones.
    held: Held,
    position: watch::Sender<Position>,
}

#[derive(Debug, Default)]
struct Inner {
    log: Log,
    /// Whether the log is complete: from a listing on, unless the contents outgrew the maximum.
    is_complete: bool,
    /// Revision up to which deletions are no longer kept.
    compacted: Revision,
    /// Position up to which writes are known; revision 0 before the first listing.
    position: Position,
    /// The latest listing and its position, while it is being sent.
    listing: (Position, Weak<Message>),
}

impl Mirror {
    /// `memory_mb` is the memory of the process, in megabytes.
    pub(crate) fn new(logger: Logger, memory_mb: Option<u64>) -> Self {
        Self {
            logger,
            max_bytes: AtomicUsize::new(memory::max_contents_bytes(memory_mb)),
            inner: Mutex::default(),
            held: Held::default(),
            position: watch::Sender::new(Position::default()),
        }
    }

    /// Applies a changed setting.
    pub(crate) fn set_memory(&self, memory_mb: Option<u64>) {
        let max_bytes = memory::max_contents_bytes(memory_mb);
        self.max_bytes.store(max_bytes, Ordering::Relaxed);
    }

    /// Maximum size of the contents, in bytes.
    fn max_bytes(&self) -> usize {
        self.max_bytes.load(Ordering::Relaxed)
    }

    /// Replaces the contents by a listing as of a position.
    pub(crate) fn reset(&self, mut writes: Vec<Write>, position: Position) {
        self.held.count(&mut writes);
        let mut inner = self.inner.lock();
        *inner = Inner {
            log: Log::default(),
            is_complete: position.revision > 0,
            compacted: position.revision,
            position,
            listing: (position, Weak::new()),
        };
        self.record(&mut inner, writes);
        drop(inner);
        self.position.send_replace(position);
    }

    /// Applies all writes up to a position. Peers that wait are not woken for the position alone.
    pub(crate) fn apply(&self, mut writes: Vec<Write>, position: Position) {
        let has_writes = !writes.is_empty();
        self.held.count(&mut writes);
        let mut inner = self.inner.lock();
        inner.position = inner.position.max(position);
        let position = inner.position;
        self.record(&mut inner, writes);
        drop(inner);
        if has_writes {
            self.position.send_replace(position);
        }
    }

    fn record(&self, inner: &mut Inner, writes: Vec<Write>) {
        if !inner.is_complete {
            return;
        }
        let max_bytes = self.max_bytes();
        for write in writes {
            inner.log.record(write);
        }
        while inner.log.deletion_bytes() > max_bytes / DELETIONS_DIVISOR {
            let forgotten = inner.log.forget_deletion();
            inner.compacted = forgotten.unwrap_or(inner.compacted).max(inner.compacted);
        }
        let bytes = inner.log.value_bytes() + inner.log.deletion_bytes();
        if bytes > max_bytes {
            self.drop_log(inner);
        }
    }

    /// Drops the contents, as the memory of the process is short. They are kept again from the next
    /// listing on.
    pub(crate) fn drop_contents(&self) {
        let mut inner = self.inner.lock();
        if inner.is_complete {
            self.drop_log(&mut inner);
        }
    }

    fn drop_log(&self, inner: &mut Inner) {
        let bytes = inner.log.value_bytes() + inner.log.deletion_bytes();
        inner.log = Log::default();
        inner.is_complete = false;
        log!(self.logger, Event::ContentsDropped,
            "bytes" => bytes, "max_bytes" => self.max_bytes(), "revision" => inner.position.revision);
        metrics::counter!("contents_dropped_total").increment(1);
    }

    /// Updates the gauges.
    pub(crate) fn record_metrics(&self) {
        let inner = self.inner.lock();
        let values = inner.log.value_bytes();
        let deletions = inner.log.deletion_bytes();
        drop(inner);
        #[expect(clippy::cast_precision_loss, reason = "gauges are floating-point")]
        {
            metrics::gauge!("contents_bytes", "of" => "latest").set(values as f64);
            metrics::gauge!("contents_bytes", "of" => "deletions").set(deletions as f64);
            metrics::gauge!("contents_bytes", "of" => "held").set(self.held.bytes() as f64);
        }
    }

    /// Lists every key. Peers that ask at the same position share one message.
    pub(crate) fn list(&self) -> Answer {
        let mut inner = self.inner.lock();
        if !inner.is_complete {
            return Answer::Compacted;
        }
        let (position, listing) = &inner.listing;
        if *position == inner.position
            && let Some(listing) = listing.upgrade()
        {
            return Answer::Message(listing);
        }
        if self.is_full(&inner) {
            return Answer::Busy;
        }
        let listing = inner.batch(inner.log.existing());
        let listing = Arc::new(Message::new(&listing, &self.held));
        inner.listing = (inner.position, Arc::downgrade(&listing));
        Answer::Message(listing)
    }

    /// Waits until there are writes after a position, at most for `wait`. Returns whether there are.
    pub(crate) async fn wait(&self, after: Position, wait: Duration) -> bool {
        let mut positions = self.position.subscribe();
        let waited = timeout(wait, positions.wait_for(|position| *position > after)).await;
        waited.is_ok()
    }

    /// The latest writes of the keys that were written or deleted after a position.
    pub(crate) fn changes(&self, after: Position) -> Answer {
        let inner = self.inner.lock();
        let is_kept = after.era == inner.position.era && after.revision >= inner.compacted;
        if !inner.is_complete || !is_kept {
            return Answer::Compacted;
        }
        if self.is_full(&inner) {
            return Answer::Busy;
        }
        let mut batch = inner.batch(inner.log.after(after.revision));
        batch.revision = batch.revision.max(after.revision);
        Answer::Message(Arc::new(Message::new(&batch, &self.held)))
    }

    /// Whether answers that peers are slow to take hold so much that there is no memory for more.
    fn is_full(&self, inner: &Inner) -> bool {
        let superseded = self.held.bytes().saturating_sub(inner.log.value_bytes());
        superseded > self.max_bytes()
    }
}

impl Inner {
    /// A batch at the current position. When it was complete is encoded with each answer.
    fn batch(&self, writes: Vec<Write>) -> Batch {
        let Position { era, revision } = self.position;
        Batch {
            known_ms: 0,
            revision,
            writes,
            era,
        }
    }
}
