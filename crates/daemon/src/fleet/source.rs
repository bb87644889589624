//! Configuration from the key-value service.
//!
//! A few routers of each zone watch the service, the others learn from them. A watch
//! that was cut is opened again from the last revision seen. A service that comes
//! back with a lower revision than has been accepted is not followed until it has
//! passed that; what it lacks then is not taken for deleted.

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

/// Shortest and longest pause before the service is tried again, in milliseconds.
const PAUSE_MS: (u64, u64) = (200, 2_000);

/// Longest wait for other routers to tell what they have accepted, in milliseconds.
const ASK_MS: u64 = 6_000;

/// Time between two looks at whether this router is to watch, in milliseconds.
const REVIEW_MS: u64 = 1_000;

/// Most events applied together.
const BATCH: usize = 1_024;

/// Why following the service ended.
enum End {
    /// Other routers watch.
    Relieved,
    /// The watch said nothing for long, as it does when nothing changes; another one
    /// shows whether it was cut.
    Silent,
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

/// What is thought of the service.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Standing {
    New,
    Up,
    Down,
    Behind,
}

/// Follows the service until stopped.
pub(super) async fn follow(fleet: Arc<Fleet>, kv: Arc<dyn Kv>) {
    // What others have accepted goes before what the service says: it may be behind.
    let asked = timeout(Duration::from_millis(ASK_MS), fleet.asked.cancelled());
    let _ = asked.await;
    let prefix = format!("{}config/", fleet.settings.prefix);
    let mut source = Source {
        reader: Reader::open(prefix.clone(), fleet.logger.clone()),
        prefix,
        fleet,
        from: None,
        compacted: false,
        was_behind: false,
        standing: Standing::New,
    };
    let mut backoff = Backoff::new(PAUSE_MS.0, PAUSE_MS.1);
    loop {
        source.wait_for_duty().await;
        let end = source.load_and_watch(kv.as_ref(), &mut backoff).await;
        source.note(end).await;
        let at = backoff.next(Instant::now(), &mut rand::rng());
        sleep_until(at.into()).await;
    }
}

struct Source {
    prefix: String,
    fleet: Arc<Fleet>,
    reader: Reader,
    /// Everything before this revision has been seen.
    from: Option<Revision>,
    /// Whether the service has forgotten some of what follows.
    compacted: bool,
    /// Whether the service ever came back with older contents.
    was_behind: bool,
    standing: Standing,
}

impl Source {
    /// Whether this router is one of those that watch. One that knows nothing reads
    /// the service whoever watches.
    fn is_on_duty(&self) -> bool {
        self.fleet.peers.is_watcher() || self.accepted() == 0
    }

    fn accepted(&self) -> Revision {
        self.fleet.store.standing().0
    }

    async fn wait_for_duty(&mut self) {
        while !self.is_on_duty() {
            self.from = None;
            self.standing = Standing::New;
            self.fleet.kv_up.store(true, Ordering::Relaxed);
            sleep(Duration::from_millis(REVIEW_MS)).await;
        }
    }

    async fn load_and_watch(&mut self, kv: &dyn Kv, backoff: &mut Backoff) -> Result<(), End> {
        let mut watch = self.open_watch(kv).await?;
        self.note_up();
        backoff.reset();
        let mut events = (&mut watch).ready_chunks(BATCH);
        let mut review = interval(Duration::from_millis(REVIEW_MS));
        loop {
            tokio::select! {
                batch = events.next() => match batch {
                    Some(batch) => self.take_events(batch)?,
                    None => return Ok(()),
                },
                _ = review.tick() => {
                    if !self.is_on_duty() {
                        return Err(End::Relieved);
                    }
                }
            }
        }
    }

    /// Opens a watch that misses nothing.
    async fn open_watch(&mut self, kv: &dyn Kv) -> Result<Watch, End> {
        if self.standing == Standing::Behind {
            // Opening a watch tells the revision without the contents.
            let watch = kv.watch(&self.prefix, 0).await?;
            self.check(watch.revision())?;
        }
        let from = match self.from {
            Some(from) if !self.compacted => from,
            _ => self.list(kv).await?,
        };
        let watch = kv.watch(&self.prefix, from).await?;
        self.check(watch.revision())?;
        Ok(watch)
    }

    /// Reads all. Returns from which revision to watch.
    async fn list(&mut self, kv: &dyn Kv) -> Result<Revision, End> {
        let listing = kv.range(&self.prefix).await?;
        self.check(listing.revision)?;
        let from = listing.revision + 1;
        self.take_listing(listing);
        self.from = Some(from);
        self.compacted = false;
        Ok(from)
    }

    fn check(&self, revision: Revision) -> Result<(), End> {
        if revision < self.accepted() {
            return Err(End::Behind(revision));
        }
        Ok(())
    }

    fn take_listing(&mut self, listing: Listing) {
        let revision = listing.revision;
        let held = self.fleet.store.config();
        let mut changes = Vec::new();
        if self.from.is_some() && !self.was_behind {
            // The watch was lost over a compaction. A key that is gone was deleted at
            // some revision since; this is the latest it can have been.
            let is_there = |key: &str| {
                let mut keys = listing.entries.iter().map(|pair| pair.key.as_str());
                keys.any(|listed| listed.strip_prefix(&self.prefix) == Some(key))
            };
            let gone = held.changes.values().filter(|c| c.object.is_some());
            let gone = gone.filter(|change| !is_there(&change.key));
            changes.extend(gone.map(|change| Change {
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
        self.fleet.accept(changes, "kv");
    }

    fn take_events(&mut self, batch: Vec<Result<kv::Event, kv::Error>>) -> Result<(), End> {
        let mut changes = Vec::with_capacity(batch.len());
        let mut failed = None;
        for event in batch {
            match event {
                Ok(event) => {
                    // The same revision again: one write may change several keys.
                    self.from = Some(event.revision);
                    let value = event.value.as_deref();
                    changes.extend(self.reader.read(&event.key, value, event.revision));
                }
                Err(error) => failed = Some(error),
            }
        }
        self.fleet.accept(changes, "kv");
        match failed {
            None => Ok(()),
            Some(kv::Error::Unknown(HttpError::TimedOut)) => Err(End::Silent),
            Some(error) => Err(error.into()),
        }
    }

    fn note_up(&mut self) {
        if self.standing != Standing::Up {
            log!(self.fleet.logger, Event::KvUp);
        }
        self.set_standing(Standing::Up);
    }

    async fn note(&mut self, end: Result<(), End>) {
        match end {
            Ok(()) | Err(End::Relieved | End::Silent) => {}
            Err(End::Failed(error)) => self.note_failure(&error).await,
            Err(End::Behind(revision)) => self.note_behind(revision),
        }
    }

    async fn note_failure(&mut self, error: &kv::Error) {
        if matches!(error, kv::Error::Compacted(_)) {
            self.compacted = true;
            return;
        }
        if matches!(self.standing, Standing::New | Standing::Up) {
            log!(self.fleet.logger, Event::KvDown, "error" => %error);
            self.set_standing(Standing::Down);
        }
        if self.accepted() == 0 {
            self.fleet.ask_sidecars().await;
        }
    }

    fn note_behind(&mut self, revision: Revision) {
        if self.standing != Standing::Behind {
            log!(self.fleet.logger, Event::KvBehind,
                "revision" => revision, "accepted" => self.accepted());
        }
        self.from = None;
        self.was_behind = true;
        self.set_standing(Standing::Behind);
    }

    fn set_standing(&mut self, standing: Standing) {
        self.standing = standing;
        let up = standing == Standing::Up;
        self.fleet.kv_up.store(up, Ordering::Relaxed);
    }
}
