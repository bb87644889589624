//! Configuration from the key-value service.
//!
//! A few routers of each zone watch the service, the others receive changes from them.
//! A lost watch is reopened from the last revision seen. A service restored from an old
//! backup is not followed until its revision has reached the accepted one; keys that it
//! lacks then are not treated as deleted.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use futures::StreamExt;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Change, Revision};
use mulberryyoke_platform::kv::{self, Kv, Listing, Watch};
use mulberryyoke_platform::{Backoff, HttpError};
use tokio::time::{interval, sleep, sleep_until, timeout};

use super::Fleet;
use super::reader::Reader;

/// Minimum and maximum backoff between attempts, in milliseconds.
const BACKOFF_MS: (u64, u64) = (200, 2_000);

/// Timeout of waiting for the first exchange with other routers, in milliseconds.
const FIRST_EXCHANGE_WAIT_MS: u64 = 6_000;

/// Interval of checks whether this router is to watch, in milliseconds.
const WATCHER_CHECK_MS: u64 = 1_000;

/// Maximum number of events applied together.
const MAX_BATCH: usize = 1_024;

/// Why a watch ended.
enum End {
    /// This router is no longer one of the watchers.
    NotWatcher,
    /// The watch was idle for too long. It is reopened, since its connection may have
    /// been lost.
    IdleTimeout,
    /// The service failed.
    Failed(kv::Error),
    /// The revision of the service is lower than the accepted one.
    Behind(Revision),
}

impl From<kv::Error> for End {
    fn from(error: kv::Error) -> Self {
        Self::Failed(error)
    }
}

/// Last observed state of the service.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ServiceState {
    New,
    Up,
    Down,
    Behind,
}

/// Follows the service until stopped.
pub(super) async fn follow(fleet: Arc<Fleet>, kv: Arc<dyn Kv>) {
    // Merge the accepted configuration of the peers first: the service may be behind it.
    let first_exchange = timeout(
        Duration::from_millis(FIRST_EXCHANGE_WAIT_MS),
        fleet.first_exchange.cancelled(),
    );
    let _ = first_exchange.await;
    let prefix = format!("{}config/", fleet.settings.prefix);
    let mut source = Source {
        reader: Reader::new(prefix.clone(), fleet.logger.clone()),
        prefix,
        fleet,
        next_revision: None,
        compacted: false,
        was_behind: false,
        state: ServiceState::New,
    };
    let mut backoff = Backoff::new(BACKOFF_MS.0, BACKOFF_MS.1);
    loop {
        source.wait_until_watcher().await;
        let end = source.load_and_watch(kv.as_ref(), &mut backoff).await;
        source.record_end(end).await;
        let at = backoff.next(Instant::now(), &mut rand::rng());
        sleep_until(at.into()).await;
    }
}

struct Source {
    prefix: String,
    fleet: Arc<Fleet>,
    reader: Reader,
    /// First revision not fully seen.
    next_revision: Option<Revision>,
    /// Whether the service has compacted revisions that have not been seen.
    compacted: bool,
    /// Whether the service was ever behind the accepted revision.
    was_behind: bool,
    state: ServiceState,
}

impl Source {
    /// Whether this router is to watch. One without configuration always does.
    fn should_watch(&self) -> bool {
        self.fleet.peers.is_watcher() || self.accepted() == 0
    }

    fn accepted(&self) -> Revision {
        self.fleet.store.version().0
    }

    async fn wait_until_watcher(&mut self) {
        while !self.should_watch() {
            self.next_revision = None;
            self.state = ServiceState::New;
            self.fleet.kv_up.store(true, Ordering::Relaxed);
            sleep(Duration::from_millis(WATCHER_CHECK_MS)).await;
        }
    }

    async fn load_and_watch(&mut self, kv: &dyn Kv, backoff: &mut Backoff) -> Result<(), End> {
        let mut watch = self.open_watch(kv).await?;
        self.record_up();
        backoff.reset();
        let mut events = (&mut watch).ready_chunks(MAX_BATCH);
        let mut watcher_check = interval(Duration::from_millis(WATCHER_CHECK_MS));
        loop {
            tokio::select! {
                batch = events.next() => match batch {
                    Some(batch) => self.apply_events(batch)?,
                    None => return Ok(()),
                },
                _ = watcher_check.tick() => {
                    if !self.should_watch() {
                        return Err(End::NotWatcher);
                    }
                }
            }
        }
    }

    /// Opens a watch without a gap after the last revision seen.
    async fn open_watch(&mut self, kv: &dyn Kv) -> Result<Watch, End> {
        if self.state == ServiceState::Behind {
            // Opening a watch returns the revision without reading the contents.
            let watch = kv.watch(&self.prefix, 0).await?;
            self.check_revision(watch.revision())?;
        }
        let from = match self.next_revision {
            Some(from) if !self.compacted => from,
            _ => self.load(kv).await?,
        };
        let watch = kv.watch(&self.prefix, from).await?;
        self.check_revision(watch.revision())?;
        Ok(watch)
    }

    /// Reads the whole configuration. Returns the revision to watch from.
    async fn load(&mut self, kv: &dyn Kv) -> Result<Revision, End> {
        let listing = kv.range(&self.prefix).await?;
        self.check_revision(listing.revision)?;
        let from = listing.revision + 1;
        self.apply_listing(listing);
        self.next_revision = Some(from);
        self.compacted = false;
        Ok(from)
    }

    fn check_revision(&self, revision: Revision) -> Result<(), End> {
        if revision < self.accepted() {
            return Err(End::Behind(revision));
        }
        Ok(())
    }

    fn apply_listing(&mut self, listing: Listing) {
        let revision = listing.revision;
        let current = self.fleet.store.config();
        let mut changes = Vec::new();
        if self.next_revision.is_some() && !self.was_behind {
            // Deletions may be among the compacted events. The listing's revision is the
            // latest at which a missing key can have been deleted.
            let is_listed = |key: &str| {
                let mut keys = listing.entries.iter().map(|pair| pair.key.as_str());
                keys.any(|listed| listed.strip_prefix(&self.prefix) == Some(key))
            };
            let deleted = current.changes.values().filter(|c| c.object.is_some());
            let deleted = deleted.filter(|change| !is_listed(&change.key));
            changes.extend(deleted.map(|change| Change {
                key: change.key.clone(),
                revision,
                object: None,
            }));
        }
        for pair in listing.entries {
            let change = self
                .reader
                .read(&pair.key, Some(&pair.value), pair.revision);
            changes.extend(change);
        }
        self.fleet.apply(changes, "kv");
    }

    fn apply_events(&mut self, batch: Vec<Result<kv::Event, kv::Error>>) -> Result<(), End> {
        let mut changes = Vec::with_capacity(batch.len());
        let mut failed = None;
        for event in batch {
            match event {
                Ok(event) => {
                    // Not the revision after it: one write may change several keys.
                    self.next_revision = Some(event.revision);
                    let value = event.value.as_deref();
                    changes.extend(self.reader.read(&event.key, value, event.revision));
                }
                Err(error) => failed = Some(error),
            }
        }
        self.fleet.apply(changes, "kv");
        match failed {
            None => Ok(()),
            Some(kv::Error::Unknown(HttpError::TimedOut)) => Err(End::IdleTimeout),
            Some(error) => Err(error.into()),
        }
    }

    fn record_up(&mut self) {
        if self.state != ServiceState::Up {
            log!(self.fleet.logger, Event::KvUp);
        }
        self.set_state(ServiceState::Up);
    }

    async fn record_end(&mut self, end: Result<(), End>) {
        match end {
            Ok(()) | Err(End::NotWatcher | End::IdleTimeout) => {}
            Err(End::Failed(error)) => self.record_failure(&error).await,
            Err(End::Behind(revision)) => self.record_behind(revision),
        }
    }

    async fn record_failure(&mut self, error: &kv::Error) {
        if matches!(error, kv::Error::Compacted(_)) {
            self.compacted = true;
            return;
        }
        if matches!(self.state, ServiceState::New | ServiceState::Up) {
            log!(self.fleet.logger, Event::KvDown, "error" => %error);
            self.set_state(ServiceState::Down);
        }
        if self.accepted() == 0 {
            self.fleet.fetch_from_sidecars().await;
        }
    }

    fn record_behind(&mut self, revision: Revision) {
        if self.state != ServiceState::Behind {
            log!(self.fleet.logger, Event::KvBehind,
                "revision" => revision, "accepted" => self.accepted());
        }
        self.next_revision = None;
        self.was_behind = true;
        self.set_state(ServiceState::Behind);
    }

    fn set_state(&mut self, state: ServiceState) {
        self.state = state;
        let up = state == ServiceState::Up;
        self.fleet.kv_up.store(up, Ordering::Relaxed);
    }
}
