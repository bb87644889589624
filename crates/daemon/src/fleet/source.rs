//! Configuration from the key-value service.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use futures::StreamExt;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Change, Entry, Revision};
use mulberryyoke_platform::Backoff;
use mulberryyoke_platform::kv::{self, Kv, Listing};

use super::Fleet;

/// Shortest and longest pause before the service is tried again, in milliseconds.
const PAUSE_MS: (u64, u64) = (200, 2_000);

/// Why following the service ended.
enum End {
    /// The service failed.
    Failed(kv::Error),
    /// The service has older contents than have been accepted.
    Behind(Revision),
}

impl From<kv::Error> for End {
    fn from(error: kv::Error) -> Self {
        Self::Failed(error)
    }
}

/// Follows the service for ever.
pub(super) async fn follow(fleet: Arc<Fleet>, kv: Arc<dyn Kv>) {
    let mut backoff = Backoff::new(PAUSE_MS.0, PAUSE_MS.1);
    let mut source = Source {
        prefix: format!("{}config/", fleet.settings.prefix),
        fleet,
        up: None,
        behind: false,
    };
    loop {
        let end = source.load_and_watch(kv.as_ref(), &mut backoff).await;
        source.note(end);
        let at = backoff.next(Instant::now(), &mut rand::rng());
        tokio::time::sleep_until(at.into()).await;
    }
}

struct Source {
    prefix: String,
    fleet: Arc<Fleet>,
    up: Option<bool>,
    behind: bool,
}

impl Source {
    async fn load_and_watch(&mut self, kv: &dyn Kv, backoff: &mut Backoff) -> Result<(), End> {
        let listing = kv.range(&self.prefix).await?;
        self.check(listing.revision)?;
        let from = listing.revision + 1;
        self.take_listing(listing);
        let mut watch = kv.watch(&self.prefix, from).await?;
        self.check(watch.revision())?;
        self.note_up();
        backoff.reset();
        while let Some(event) = watch.next().await {
            self.take_event(&event?);
        }
        Ok(())
    }

    fn check(&self, revision: Revision) -> Result<(), End> {
        if revision < self.fleet.store.config().revision {
            return Err(End::Behind(revision));
        }
        Ok(())
    }

    fn take_listing(&self, listing: Listing) {
        let read = |pair: kv::Pair| self.read(&pair.key, Some(&pair.value), pair.revision);
        let changes = listing.entries.into_iter().filter_map(read);
        self.fleet.store.apply(changes.collect());
    }

    fn take_event(&self, event: &kv::Event) {
        let change = self.read(&event.key, event.value.as_deref(), event.revision);
        self.fleet.store.apply(change.into_iter().collect());
    }

    /// Reads a write; one that cannot be read is told and skipped.
    fn read(&self, key: &str, value: Option<&[u8]>, revision: Revision) -> Option<Change> {
        let key = key.strip_prefix(&self.prefix)?.to_owned();
        let object = match value.map(serde_json::from_slice::<Entry>).transpose() {
            Ok(entry) => entry.and_then(|entry| entry.object),
            Err(error) => {
                log!(self.fleet.logger, Event::ConfigUnreadable,
                    "key" => key, "revision" => revision, "error" => %error);
                return None;
            }
        };
        Some(Change {
            key,
            revision,
            object,
        })
    }

    fn note_up(&mut self) {
        if self.up != Some(true) {
            log!(self.fleet.logger, Event::KvUp);
        }
        self.up = Some(true);
        self.fleet.kv_up.store(true, Ordering::Relaxed);
        self.behind = false;
    }

    fn note(&mut self, end: Result<(), End>) {
        let up = end.is_ok();
        self.fleet.kv_up.store(up, Ordering::Relaxed);
        match end {
            Ok(()) => {}
            Err(End::Failed(error)) => {
                if self.up != Some(false) {
                    log!(self.fleet.logger, Event::KvDown, "error" => %error);
                }
                self.up = Some(false);
            }
            Err(End::Behind(revision)) => {
                if !self.behind {
                    let accepted = self.fleet.store.config().revision;
                    log!(self.fleet.logger, Event::KvBehind,
                        "revision" => revision, "accepted" => accepted);
                }
                self.behind = true;
            }
        }
    }
}
