//! A key-value service in memory that can be told to fail.

use std::collections::BTreeMap;
use std::future::pending;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use mulberryyoke_platform::Cause;
use mulberryyoke_platform::kv::{
    Call, Changes, Contents, Era, Error, Event, Feed, Lease, LeaseId, Pair, Position, Revision,
};
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::timeout;

/// What the service holds.
#[derive(Clone, Debug, Default)]
struct Held {
    era: Era,
    revision: Revision,
    keys: BTreeMap<String, (Vec<u8>, Revision)>,
    events: Vec<Event>,
    floor: Revision,
}

impl Held {
    const fn position(&self) -> Position {
        Position {
            era: self.era,
            revision: self.revision,
        }
    }
}

/// The service.
#[derive(Debug)]
pub(crate) struct Service {
    held: Mutex<Held>,
    /// What it held when the copy was made from which it may come back.
    backup: Mutex<Held>,
    /// Leases that were granted, and by how many calls.
    grants: AtomicU64,
    changed: watch::Sender<Revision>,
    calls: AtomicU64,
    /// Renewals of leases.
    renewals: AtomicU64,
}

impl Service {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            held: Mutex::default(),
            backup: Mutex::default(),
            grants: AtomicU64::new(0),
            changed: watch::Sender::new(0),
            calls: AtomicU64::new(0),
            renewals: AtomicU64::new(0),
        })
    }

    /// Writes a key, or deletes it.
    pub(crate) fn set(&self, key: &str, value: Option<&str>) {
        let mut held = self.held.lock();
        held.revision += 1;
        let revision = held.revision;
        let value = value.map(|value| value.as_bytes().to_vec());
        match &value {
            Some(value) => held.keys.insert(key.to_owned(), (value.clone(), revision)),
            None => held.keys.remove(key),
        };
        held.events.push(Event {
            key: key.to_owned(),
            value,
            revision,
        });
        drop(held);
        self.changed.send_replace(revision);
    }

    /// The keys with a prefix.
    pub(crate) fn keys(&self, prefix: &str) -> Vec<String> {
        let held = self.held.lock();
        let keys = held.keys.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Forgets the history.
    pub(crate) fn compact(&self) {
        let mut held = self.held.lock();
        held.events.clear();
        held.floor = held.revision;
    }

    /// Makes a copy of what it holds.
    pub(crate) fn back_up(&self) {
        *self.backup.lock() = self.held.lock().clone();
    }

    /// Comes back from the copy: all that was written since is lost, and its revisions are
    /// given out again.
    pub(crate) fn restore(&self) {
        let mut held = self.held.lock();
        let era = held.era + 1;
        *held = self.backup.lock().clone();
        held.era = era;
        let revision = held.revision;
        drop(held);
        self.changed.send_replace(revision);
    }

    /// The revision of the latest write.
    pub(crate) fn revision(&self) -> Revision {
        self.held.lock().revision
    }

    /// Leases that were granted.
    pub(crate) fn grants(&self) -> u64 {
        self.grants.load(Ordering::Relaxed)
    }

    /// Calls that came.
    pub(crate) fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Renewals of leases that came.
    #[allow(dead_code, reason = "only the tests of suspension ask")]
    pub(crate) fn renewals(&self) -> u64 {
        self.renewals.load(Ordering::Relaxed)
    }

    async fn wait(&self, after: Revision, wait_ms: u64) {
        let mut changed = self.changed.subscribe();
        let wait = changed.wait_for(|revision| *revision > after);
        // That the time is over is no failure.
        let _ = timeout(Duration::from_millis(wait_ms), wait).await;
    }
}

/// Time after which a call that hangs is given up, beyond the time that it waits, in milliseconds.
const CALL_MS: u64 = 900;

/// One node's way to the service.
#[derive(Debug)]
pub(crate) struct Client {
    pub(crate) service: Arc<Service>,
    is_failing: AtomicBool,
    is_hanging: AtomicBool,
}

impl Client {
    pub(crate) fn new(service: &Arc<Service>) -> Arc<Self> {
        Arc::new(Self {
            service: Arc::clone(service),
            is_failing: AtomicBool::new(false),
            is_hanging: AtomicBool::new(false),
        })
    }

    /// Makes calls fail, or work again.
    pub(crate) fn set_failing(&self, is_failing: bool) {
        self.is_failing.store(is_failing, Ordering::Relaxed);
    }

    /// Makes calls hang, or work again.
    pub(crate) fn set_hanging(&self, is_hanging: bool) {
        self.is_hanging.store(is_hanging, Ordering::Relaxed);
    }

    /// Lets a call through that waits for so long at the service.
    async fn pass(&self, wait_ms: u64) -> Result<(), Error> {
        self.service.calls.fetch_add(1, Ordering::Relaxed);
        if self.is_hanging.load(Ordering::Relaxed) {
            let _ = timeout(Duration::from_millis(wait_ms + CALL_MS), pending::<()>()).await;
            return Err(Error::Unknown(Cause::Late));
        }
        if self.is_failing.load(Ordering::Relaxed) {
            return Err(Error::Unsent(Cause::Connect("cut".to_owned())));
        }
        Ok(())
    }

    fn lease(id: LeaseId) -> Lease {
        Lease {
            id,
            deadline: Instant::now() + Duration::from_secs(10),
        }
    }
}

impl Feed for Client {
    fn list<'a>(&'a self, prefix: &'a str) -> Call<'a, Contents> {
        Box::pin(async move {
            self.pass(0).await?;
            let held = self.service.held.lock();
            let keys = held.keys.iter().filter(|(key, _)| key.starts_with(prefix));
            let entries = keys.map(|(key, (value, revision))| Pair {
                key: key.clone(),
                value: value.clone(),
                revision: *revision,
                lease: None,
            });
            Ok(Contents {
                position: held.position(),
                entries: entries.collect(),
            })
        })
    }

    fn changes<'a>(&'a self, _: &'a str, after: Revision, wait_ms: u64) -> Call<'a, Changes> {
        Box::pin(async move {
            self.pass(wait_ms).await?;
            self.service.wait(after, wait_ms).await;
            self.pass(0).await?;
            let held = self.service.held.lock();
            if after < held.floor || after > held.revision {
                return Err(Error::Compacted(held.floor));
            }
            let newer = held.events.iter().filter(|event| event.revision > after);
            Ok(Changes {
                position: held.position(),
                events: newer.cloned().collect(),
            })
        })
    }

    fn grant(&self, _: u64) -> Call<'_, Lease> {
        Box::pin(async move {
            self.pass(0).await?;
            self.service.grants.fetch_add(1, Ordering::Relaxed);
            Ok(Self::lease(LeaseId(1)))
        })
    }

    fn keep(&self, id: LeaseId) -> Call<'_, Lease> {
        Box::pin(async move {
            self.pass(0).await?;
            self.service.renewals.fetch_add(1, Ordering::Relaxed);
            Ok(Self::lease(id))
        })
    }

    fn put<'a>(&'a self, key: &'a str, value: &'a [u8], _: LeaseId) -> Call<'a, ()> {
        Box::pin(async move {
            self.pass(0).await?;
            self.service.set(key, std::str::from_utf8(value).ok());
            Ok(())
        })
    }

    fn era(&self) -> Era {
        self.service.held.lock().era
    }
}
