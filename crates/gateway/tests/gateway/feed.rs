//! In-memory key-value service with injected failures.

use std::collections::BTreeMap;
use std::future::pending;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use mulberryyoke_platform::HttpError;
use mulberryyoke_platform::kv::{
    Call, Changes, Contents, Era, Error, Event, Expect, Feed, Lease, LeaseId, Pair, Position,
    Revision,
};
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::timeout;

/// State of the service.
#[derive(Clone, Debug, Default)]
struct State {
    era: Era,
    revision: Revision,
    keys: BTreeMap<String, (Vec<u8>, Revision)>,
    events: Vec<Event>,
    /// Revision up to which the history is compacted.
    compacted: Revision,
}

impl State {
    const fn position(&self) -> Position {
        Position {
            era: self.era,
            revision: self.revision,
        }
    }
}

/// The key-value service.
#[derive(Debug)]
pub(crate) struct Service {
    state: Mutex<State>,
    /// State to which the service can be restored.
    backup: Mutex<State>,
    /// Whether it is away for all gateways.
    is_away: AtomicBool,
    /// Number of granted leases.
    grants: AtomicU64,
    /// Leases up to this one have ended.
    ended: AtomicU64,
    /// Keys with a lease.
    leased: Mutex<BTreeMap<String, LeaseId>>,
    changed: watch::Sender<Revision>,
    /// Number of calls.
    calls: AtomicU64,
    /// Number of lease renewals.
    renewals: AtomicU64,
}

impl Service {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            backup: Mutex::default(),
            is_away: AtomicBool::new(false),
            grants: AtomicU64::new(0),
            ended: AtomicU64::new(0),
            leased: Mutex::default(),
            changed: watch::Sender::new(0),
            calls: AtomicU64::new(0),
            renewals: AtomicU64::new(0),
        })
    }

    /// Writes a key, or deletes it.
    pub(crate) fn set(&self, key: &str, value: Option<&str>) {
        self.write(key, value.map(|value| value.as_bytes().to_vec()));
    }

    /// As [`Service::set`], with a value that is not text.
    pub(crate) fn write(&self, key: &str, value: Option<Vec<u8>>) {
        let mut state = self.state.lock();
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => state.keys.insert(key.to_owned(), (value.clone(), revision)),
            None => state.keys.remove(key),
        };
        state.events.push(Event {
            key: key.to_owned(),
            value,
            revision,
        });
        drop(state);
        self.changed.send_replace(revision);
    }

    /// The keys with a prefix.
    pub(crate) fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock();
        let keys = state.keys.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Sets whether calls of all gateways fail.
    #[allow(dead_code, reason = "not used by every test binary")]
    pub(crate) fn set_away(&self, is_away: bool) {
        self.is_away.store(is_away, Ordering::Relaxed);
    }

    /// Compacts the whole history.
    pub(crate) fn compact(&self) {
        let mut state = self.state.lock();
        state.events.clear();
        state.compacted = state.revision;
    }

    /// Backs up the state.
    pub(crate) fn back_up(&self) {
        *self.backup.lock() = self.state.lock().clone();
    }

    /// Restores the backup in a new era: later writes are lost, and their revisions are reused.
    pub(crate) fn restore(&self) {
        let mut state = self.state.lock();
        let era = state.era + 1;
        *state = self.backup.lock().clone();
        state.era = era;
        let revision = state.revision;
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Ends all leases.
    #[allow(dead_code, reason = "not used by all tests of gateways")]
    pub(crate) fn end_leases(&self) {
        self.ended.store(self.grants(), Ordering::Relaxed);
        let keys = std::mem::take(&mut *self.leased.lock());
        for key in keys.keys() {
            self.set(key, None);
        }
    }

    /// Rejects a lease that has ended.
    fn check_lease(&self, lease: LeaseId) -> Result<(), Error> {
        if lease.0 <= self.ended.load(Ordering::Relaxed) {
            return Err(Error::LeaseExpired);
        }
        Ok(())
    }

    /// The revision of the latest write.
    pub(crate) fn revision(&self) -> Revision {
        self.state.lock().revision
    }

    /// Number of granted leases.
    pub(crate) fn grants(&self) -> u64 {
        self.grants.load(Ordering::Relaxed)
    }

    /// Number of calls.
    pub(crate) fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Number of lease renewals.
    #[allow(dead_code, reason = "only used by the tests of suspension")]
    pub(crate) fn renewals(&self) -> u64 {
        self.renewals.load(Ordering::Relaxed)
    }

    async fn wait(&self, after: Revision, wait_ms: u64) {
        let mut changed = self.changed.subscribe();
        let wait = changed.wait_for(|revision| *revision > after);
        // After the timeout there are no changes to return.
        let _ = timeout(Duration::from_millis(wait_ms), wait).await;
    }
}

/// Timeout of a hanging call beyond the time that it waits for changes, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 900;

/// One gateway's client of the service.
#[derive(Debug)]
pub(crate) struct Client {
    pub(crate) service: Arc<Service>,
    is_failing: AtomicBool,
    is_hanging: AtomicBool,
    is_rejecting_writes: AtomicBool,
    /// Number of times that the waiting calls were cut.
    cuts: watch::Sender<u64>,
}

impl Client {
    pub(crate) fn new(service: &Arc<Service>) -> Arc<Self> {
        Arc::new(Self {
            service: Arc::clone(service),
            is_failing: AtomicBool::new(false),
            is_hanging: AtomicBool::new(false),
            is_rejecting_writes: AtomicBool::new(false),
            cuts: watch::Sender::new(0),
        })
    }

    /// Sets whether calls fail.
    pub(crate) fn set_failing(&self, is_failing: bool) {
        self.is_failing.store(is_failing, Ordering::Relaxed);
    }

    /// Cuts the connections of calls that wait for changes.
    pub(crate) fn cut(&self) {
        self.cuts.send_modify(|cuts| *cuts += 1);
    }

    /// Sets whether calls hang.
    pub(crate) fn set_hanging(&self, is_hanging: bool) {
        self.is_hanging.store(is_hanging, Ordering::Relaxed);
    }

    /// Sets whether writes on a condition fail.
    #[allow(dead_code, reason = "not used by every test binary")]
    pub(crate) fn set_rejecting_writes(&self, is_rejecting: bool) {
        self.is_rejecting_writes
            .store(is_rejecting, Ordering::Relaxed);
    }

    /// Counts a call and injects the configured failure.
    async fn start_call(&self, wait_ms: u64) -> Result<(), Error> {
        self.service.calls.fetch_add(1, Ordering::Relaxed);
        if self.is_hanging.load(Ordering::Relaxed) {
            let _ = timeout(
                Duration::from_millis(wait_ms + CALL_TIMEOUT_MS),
                pending::<()>(),
            )
            .await;
            return Err(Error::Unknown(HttpError::TimedOut));
        }
        let is_away = self.service.is_away.load(Ordering::Relaxed);
        if is_away || self.is_failing.load(Ordering::Relaxed) {
            return Err(Error::Unsent(HttpError::Connect(
                "injected failure".to_owned(),
            )));
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

/// Rejects a response that exceeds the limit of its reader.
fn check_size(bytes: usize, limit: usize) -> Result<(), Error> {
    if bytes > limit {
        return Err(Error::Unknown(HttpError::TooLarge { limit }));
    }
    Ok(())
}

impl Feed for Client {
    fn list<'a>(&'a self, prefix: &'a str, max_bytes: usize) -> Call<'a, Contents> {
        Box::pin(async move {
            self.start_call(0).await?;
            let state = self.service.state.lock();
            let keys = state.keys.iter().filter(|(key, _)| key.starts_with(prefix));
            let entries = keys.map(|(key, (value, revision))| Pair {
                key: key.clone(),
                value: value.clone(),
                revision: *revision,
                lease: None,
            });
            let entries: Vec<Pair> = entries.collect();
            let bytes = entries.iter().map(|pair| pair.key.len() + pair.value.len());
            check_size(bytes.sum(), max_bytes)?;
            Ok(Contents {
                position: state.position(),
                entries,
            })
        })
    }

    fn changes<'a>(
        &'a self,
        _: &'a str,
        after: Revision,
        wait_ms: u64,
        max_bytes: usize,
    ) -> Call<'a, Changes> {
        Box::pin(async move {
            self.start_call(wait_ms).await?;
            let mut cuts = self.cuts.subscribe();
            tokio::select! {
                () = self.service.wait(after, wait_ms) => {}
                _ = cuts.changed() => {
                    let cause = "injected cut".to_owned();
                    return Err(Error::Unknown(HttpError::Disconnected(cause)));
                }
            }
            self.start_call(0).await?;
            let state = self.service.state.lock();
            if after < state.compacted || after > state.revision {
                return Err(Error::Compacted(state.compacted));
            }
            let newer = state.events.iter().filter(|event| event.revision > after);
            let events: Vec<Event> = newer.cloned().collect();
            let sizes = events.iter().map(|event| {
                let value = event.value.as_ref();
                event.key.len() + value.map_or(0, Vec::len)
            });
            check_size(sizes.sum(), max_bytes)?;
            Ok(Changes {
                position: state.position(),
                events,
            })
        })
    }

    fn grant(&self, _: u64) -> Call<'_, Lease> {
        Box::pin(async move {
            self.start_call(0).await?;
            let grants = self.service.grants.fetch_add(1, Ordering::Relaxed);
            Ok(Self::lease(LeaseId(grants + 1)))
        })
    }

    fn keep_alive(&self, id: LeaseId) -> Call<'_, Lease> {
        Box::pin(async move {
            self.start_call(0).await?;
            self.service.renewals.fetch_add(1, Ordering::Relaxed);
            self.service.check_lease(id)?;
            Ok(Self::lease(id))
        })
    }

    fn put<'a>(&'a self, key: &'a str, value: &'a [u8], lease: LeaseId) -> Call<'a, ()> {
        Box::pin(async move {
            self.start_call(0).await?;
            self.service.check_lease(lease)?;
            self.service.leased.lock().insert(key.to_owned(), lease);
            self.service.write(key, Some(value.to_vec()));
            Ok(())
        })
    }

    fn write_if<'a>(
        &'a self,
        key: &'a str,
        expected: Expect,
        value: Option<&'a [u8]>,
    ) -> Call<'a, bool> {
        Box::pin(async move {
            self.start_call(0).await?;
            if self.is_rejecting_writes.load(Ordering::Relaxed) {
                let cause = "injected rejection".to_owned();
                return Err(Error::Unsent(HttpError::Connect(cause)));
            }
            let current = {
                let state = self.service.state.lock();
                state.keys.get(key).map(|(_, revision)| *revision)
            };
            let holds = match expected {
                Expect::Absent => current.is_none(),
                Expect::Revision(revision) => current == Some(revision),
                Expect::Any => true,
            };
            if holds {
                let value = value.and_then(|value| std::str::from_utf8(value).ok());
                self.service.set(key, value);
            }
            Ok(holds)
        })
    }

    fn era(&self) -> Era {
        self.service.state.lock().era
    }
}
