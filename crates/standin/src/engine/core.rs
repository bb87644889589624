//! State and scheduling of an engine.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};

use parking_lot::Mutex;
use serde::Serialize;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::{Instant, sleep, sleep_until};

use crate::journal::{Journal, Stage};

use super::cache::Cache;
use super::command::Config;
use super::prompt::Prompt;
use super::settings::Settings;
use super::stream::Stream;

/// Load report.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Load {
    running: u32,
    waiting: u32,
    batch: usize,
}

/// State of an engine.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) settings: Settings,
    pub(crate) config: Config,
    /// Last load report, updated at an interval.
    pub(crate) load: Mutex<Load>,
    journal: Journal,
    /// Free slots of the batch.
    slots: Semaphore,
    cache: Mutex<Cache>,
    streams: Mutex<HashMap<u64, Arc<Stream>>>,
    next_stream: AtomicU64,
}

impl Core {
    pub(crate) fn new(settings: Settings) -> Self {
        Self {
            config: Config::new(settings.models.clone(), settings.fencing),
            load: Mutex::default(),
            journal: Journal::default(),
            slots: Semaphore::new(settings.batch_size),
            cache: Mutex::new(Cache::new(settings.cache_blocks)),
            streams: Mutex::default(),
            next_stream: AtomicU64::new(1),
            settings,
        }
    }

    pub(crate) fn journal(&self) -> &Journal {
        &self.journal
    }

    pub(crate) fn stream(&self, id: u64) -> Option<Arc<Stream>> {
        self.streams.lock().get(&id).cloned()
    }

    /// Admits a request, which waits for a slot and then runs in its own task.
    pub(crate) fn admit(self: &Arc<Self>, prompt: Prompt) -> (u64, Arc<Stream>) {
        let id = self.next_stream.fetch_add(1, Ordering::Relaxed);
        let run = self.journal.record_arrival(&prompt.op);
        let stream = Arc::new(Stream::new(prompt, run));
        self.streams.lock().insert(id, Arc::clone(&stream));
        tokio::spawn(Arc::clone(self).run(id, Arc::clone(&stream)));
        (id, stream)
    }

    async fn run(self: Arc<Self>, id: u64, stream: Arc<Stream>) {
        let generation = self.generate(&stream);
        let completed = stream.cancel.run_until_cancelled(generation).await;
        let stage = completed.map_or(Stage::Cancelled, |()| Stage::Complete);
        self.journal.record_end(stream.run, stage);
        // Readers may resume a complete stream.
        sleep(self.settings.resume_timeout).await;
        self.streams.lock().remove(&id);
    }

    async fn generate(&self, stream: &Stream) {
        let _slot = self.slot().await;
        self.journal.record_start(stream.run);
        let misses = self.cache.lock().insert(&stream.prompt.text);
        let mut due = Instant::now() + self.settings.prefill_time * misses;
        for generated in 1..=stream.prompt.tokens {
            due += self.settings.token_time;
            sleep_until(due).await;
            self.journal.record_tokens(stream.run, 1);
            stream.generated.send_replace(generated);
        }
    }

    async fn slot(&self) -> SemaphorePermit<'_> {
        let slot = self.slots.acquire().await;
        slot.expect("the semaphore is never closed")
    }

    fn update_load(&self) {
        let customers = self.journal.customer_stats();
        *self.load.lock() = Load {
            running: customers.values().map(|stats| stats.running).sum(),
            waiting: customers.values().map(|stats| stats.waiting).sum(),
            batch: self.settings.batch_size,
        };
    }
}

/// Updates the load report at the interval of the settings until the engine is dropped.
pub(crate) async fn publish_load(core: Weak<Core>) {
    while let Some(core) = core.upgrade() {
        core.update_load();
        let interval = core.settings.load_interval;
        drop(core);
        sleep(interval).await;
    }
}
