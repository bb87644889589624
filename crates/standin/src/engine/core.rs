//! An engine's state: its batch, its streams and its cache.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};

use parking_lot::Mutex;
use serde::Serialize;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::{Instant, sleep, sleep_until};

use crate::journal::{Journal, Stage};

use super::cache::Cache;
use super::order::Orders;
use super::prompt::Prompt;
use super::settings::Settings;
use super::stream::Stream;

/// A load report, as old as the settings say.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Load {
    running: u32,
    waiting: u32,
    batch: usize,
}

#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) settings: Settings,
    pub(crate) orders: Orders,
    pub(crate) load: Mutex<Load>,
    journal: Journal,
    batch: Semaphore,
    cache: Mutex<Cache>,
    streams: Mutex<HashMap<u64, Arc<Stream>>>,
    next: AtomicU64,
}

impl Core {
    pub(crate) fn new(settings: Settings) -> Self {
        Self {
            orders: Orders::new(settings.models.clone(), settings.fencing),
            load: Mutex::default(),
            journal: Journal::default(),
            batch: Semaphore::new(settings.batch_size),
            cache: Mutex::new(Cache::new(settings.cache_blocks)),
            streams: Mutex::default(),
            next: AtomicU64::new(1),
            settings,
        }
    }

    pub(crate) fn journal(&self) -> &Journal {
        &self.journal
    }

    pub(crate) fn stream(&self, id: u64) -> Option<Arc<Stream>> {
        self.streams.lock().get(&id).cloned()
    }

    /// Admits a request; it waits for its turn on a task of its own.
    pub(crate) fn admit(self: &Arc<Self>, prompt: Prompt) -> (u64, Arc<Stream>) {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let run = self.journal.record_arrival(&prompt.op);
        let stream = Arc::new(Stream::new(prompt, run));
        self.streams.lock().insert(id, Arc::clone(&stream));
        tokio::spawn(Arc::clone(self).run(id, Arc::clone(&stream)));
        (id, stream)
    }

    async fn run(self: Arc<Self>, id: u64, stream: Arc<Stream>) {
        let generation = self.generate(&stream);
        let ended = stream.cancel.run_until_cancelled(generation).await;
        let stage = ended.map_or(Stage::Cancelled, |()| Stage::Complete);
        self.journal.record_end(stream.run, stage);
        // A whole answer stays readable for those who resume.
        sleep(self.settings.resume_timeout).await;
        self.streams.lock().remove(&id);
    }

    async fn generate(&self, stream: &Stream) {
        let _slot = self.slot().await;
        self.journal.record_start(stream.run);
        let missing = self.cache.lock().read(&stream.prompt.text);
        let mut due = Instant::now() + self.settings.prefill_time * missing;
        for produced in 1..=stream.prompt.tokens {
            due += self.settings.token_time;
            sleep_until(due).await;
            self.journal.record_tokens(stream.run, 1);
            stream.produced.send_replace(produced);
        }
    }

    async fn slot(&self) -> SemaphorePermit<'_> {
        let slot = self.batch.acquire().await;
        slot.expect("the batch is never closed")
    }

    fn measure(&self) {
        let tallies = self.journal.customer_stats();
        *self.load.lock() = Load {
            running: tallies.values().map(|tally| tally.running).sum(),
            waiting: tallies.values().map(|tally| tally.waiting).sum(),
            batch: self.settings.batch_size,
        };
    }
}

/// Renews the load report after each lag until the engine is gone.
pub(crate) async fn publish(core: Weak<Core>) {
    while let Some(core) = core.upgrade() {
        core.measure();
        let lag = core.settings.load_interval;
        drop(core);
        sleep(lag).await;
    }
}
