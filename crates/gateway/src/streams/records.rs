//! The versions of pools in the key-value service, one key each, without a lease.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use arc_swap::ArcSwap;
use mulberryyoke_decide::stream::{
    Conclusion, Listed, PoolVersion, Record, Recorder, Records, Situation, Write,
};
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{PoolId, VersionId};
use mulberryyoke_platform::kv::{Error, Expect, Revision};
use parking_lot::Mutex;
use rand::RngExt;
use smallvec::SmallVec;

use super::record_key::Key;
use crate::clock;
use crate::core::Core;

/// Value of a record.
const RECORDED: &[u8] = b"recorded";

/// Value of a record that is about to be removed.
const RETIRING: &[u8] = b"retiring";

/// Age of the copy up to which it may stand for what a restore lost, in milliseconds: the service may
/// have been down before.
const RECENT_MS: u64 = 60_000;

/// Longest time for which a gateway that has started is not ready because versions are not recorded,
/// in milliseconds.
const READY_WAIT_MS: u64 = 2_000;

/// Interval at which writes are planned, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 100;

/// Maximum number of concurrent writes.
const MAX_PENDING_WRITES: usize = 16;

/// Copy of the recorded versions, and when this gateway writes them.
#[derive(Debug, Default)]
pub(super) struct Recorded {
    inner: Mutex<Inner>,
    /// Versions on which streams may begin, in order.
    usable: ArcSwap<Vec<PoolVersion>>,
    /// When the first listing was applied, in milliseconds of the boot clock; 0 before.
    loaded_ms: AtomicU64,
    /// When writes are planned next.
    plan_ms: AtomicU64,
    pending_writes: AtomicUsize,
}

#[derive(Debug, Default)]
struct Inner {
    records: Records,
    recorder: Recorder,
}

impl Recorded {
    /// Versions on which a stream of a pool may begin.
    pub(super) fn usable(&self, pool: PoolId) -> SmallVec<[VersionId; 4]> {
        let usable = self.usable.load();
        let first = usable.partition_point(|(of, _)| *of < pool);
        let versions = usable[first..].iter().take_while(|(of, _)| *of == pool);
        versions.map(|(_, version)| *version).collect()
    }

    /// What the records tell of a stream of a pool.
    pub(super) fn conclude(&self, pool: PoolId) -> Conclusion {
        self.inner.lock().records.conclude(pool)
    }

    /// Number of recorded versions of a pool.
    pub(super) fn count(&self, pool: PoolId) -> usize {
        self.inner.lock().records.count(pool)
    }

    /// All recorded versions.
    pub(super) fn all(&self) -> Vec<PoolVersion> {
        self.inner.lock().records.all().collect()
    }

    fn change(&self, change: impl FnOnce(&mut Records)) {
        let mut inner = self.inner.lock();
        change(&mut inner.records);
        let usable = inner.records.usable().collect();
        self.usable.store(Arc::new(usable));
    }
}

/// Collects the records of a listing.
#[derive(Debug, Default)]
pub(crate) struct Listing(Listed);

impl Listing {
    /// Adds a write; `false` if it is of no record.
    pub(crate) fn add(&mut self, key: &str, value: &[u8], revision: Revision) -> bool {
        match Key::parse(key) {
            Some(Key::Version(version)) => {
                self.0.records.insert(version, record(value, revision));
            }
            Some(Key::Mark) => self.0.marked = parse_era(value),
            None => return false,
        }
        true
    }

    /// Replaces the copy by the listing.
    pub(crate) fn apply(self, core: &Core, era: u64) {
        let recorded = &core.streams.recorded;
        let is_recent = core.view.age_ms() < RECENT_MS;
        // The clock starts at zero, which stands for none.
        let now_ms = clock::now_ms().max(1);
        let order = Ordering::Relaxed;
        let _ = recorded.loaded_ms.compare_exchange(0, now_ms, order, order);
        recorded.change(|records| records.load(era, self.0, is_recent));
    }
}

/// Applies a write, or a deletion; `false` if it is of no record.
pub(crate) fn apply(core: &Core, key: &str, value: Option<&[u8]>, revision: Revision) -> bool {
    let recorded = &core.streams.recorded;
    match (Key::parse(key), value) {
        (Some(Key::Version(version)), Some(value)) => {
            let record = record(value, revision);
            recorded.change(|records| records.put(version, record));
            let state = if record.is_retiring {
                "retiring"
            } else {
                "recorded"
            };
            log_change(core, version, state, revision);
        }
        (Some(Key::Version(version)), None) => {
            recorded.change(|records| records.remove(version));
            log_change(core, version, "removed", revision);
        }
        (Some(Key::Mark), value) => {
            recorded.change(|records| records.mark(value.and_then(parse_era)));
        }
        (None, _) => return false,
    }
    true
}

fn log_change(core: &Core, (pool, version): PoolVersion, state: &str, revision: Revision) {
    log!(core.logger, Event::VersionRecorded,
        "pool" => format!("{:08x}", pool.0),
        "version" => format!("{:08x}", version.0),
        "state" => state,
        "revision" => revision,
        "view_age_ms" => core.view.age_ms());
}

fn record(value: &[u8], revision: Revision) -> Record {
    Record {
        revision,
        is_retiring: value == RETIRING,
    }
}

fn parse_era(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.parse().ok()
}

/// Whether a version of each pool with servers is recorded, or was not for too long after the start.
pub(crate) fn is_settled(core: &Core) -> bool {
    let loaded_ms = core.streams.recorded.loaded_ms.load(Ordering::Relaxed);
    if loaded_ms == 0 {
        return false;
    }
    if clock::now_ms().saturating_sub(loaded_ms) >= READY_WAIT_MS {
        return true;
    }
    let usable = core.streams.recorded.usable.load();
    let is_served = |pool: PoolId| usable.iter().any(|(of, _)| *of == pool);
    let registered = core.registry.versions();
    registered.iter().all(|(pool, _)| is_served(*pool))
}

/// Writes and removes records in the background as far as it is this gateway's turn.
pub(crate) fn write_due(core: &Arc<Core>) {
    let now_ms = clock::now_ms();
    let plan_ms = &core.streams.recorded.plan_ms;
    if now_ms < plan_ms.load(Ordering::Relaxed) {
        return;
    }
    plan_ms.store(now_ms + PLAN_INTERVAL_MS, Ordering::Relaxed);
    let registered = core.registry.versions();
    let served = served_pools(core, &registered);
    let situation = Situation {
        registered: &registered,
        served: &served,
        is_watcher: core.exchange.watchers().0,
        gateways: core.exchange.gateway_count(),
        is_fresh: core.view.is_fresh(),
        now: now_ms,
    };
    let writes = {
        let mut inner = core.streams.recorded.inner.lock();
        let Inner { records, recorder } = &mut *inner;
        let random = |below| rand::rng().random_range(0..below);
        recorder.plan(records, &situation, random)
    };
    for write in writes {
        spawn_write(core, write);
    }
}

/// Pools at least half of whose servers are of versions on which streams may begin; none if all
/// versions are recorded.
fn served_pools(core: &Core, registered: &[PoolVersion]) -> Vec<PoolId> {
    let usable = core.streams.recorded.usable.load();
    let is_usable = |version: &PoolVersion| usable.binary_search(version).is_ok();
    if registered.iter().all(is_usable) {
        return Vec::new();
    }
    let mut servers: BTreeMap<PoolId, (usize, usize)> = BTreeMap::new();
    for version in registered {
        let backends = core.registry.of_version(version.0, version.1);
        let count = backends.iter().filter(|backend| backend.is_open()).count();
        let (usable_count, total) = servers.entry(version.0).or_default();
        *total += count;
        if is_usable(version) {
            *usable_count += count;
        }
    }
    let served = servers.into_iter();
    let served = served.filter(|(_, (usable_count, total))| 2 * usable_count >= *total);
    served.map(|(pool, _)| pool).collect()
}

/// Makes a write in the background. One that is not made is due again.
fn spawn_write(core: &Arc<Core>, write: Write) {
    let pending = &core.streams.recorded.pending_writes;
    if pending.fetch_add(1, Ordering::Relaxed) >= MAX_PENDING_WRITES {
        pending.fetch_sub(1, Ordering::Relaxed);
        count_write(write, "postponed");
        return;
    }
    let core = Arc::clone(core);
    tokio::spawn(async move {
        let terminate = core.shutdown.terminate.clone();
        tokio::select! {
            () = terminate.cancelled() => {}
            result = make(&core, write) => record_result(&core, write, result),
        }
        let pending = &core.streams.recorded.pending_writes;
        pending.fetch_sub(1, Ordering::Relaxed);
    });
}

async fn make(core: &Core, write: Write) -> Result<bool, Error> {
    let era;
    let (key, expected, value) = match write {
        Write::Record(version, 0) => (Key::Version(version), Expect::Absent, Some(RECORDED)),
        Write::Record(version, revision) => {
            let expected = Expect::Revision(revision);
            (Key::Version(version), expected, Some(RECORDED))
        }
        Write::Retire(version, revision) => {
            let expected = Expect::Revision(revision);
            (Key::Version(version), expected, Some(RETIRING))
        }
        Write::Remove(version, revision) => {
            (Key::Version(version), Expect::Revision(revision), None)
        }
        Write::Mark(marked) => {
            era = marked.to_string();
            (Key::Mark, Expect::Any, Some(era.as_bytes()))
        }
    };
    core.feed.write_if(&key.to_string(), expected, value).await
}

fn record_result(core: &Core, write: Write, result: Result<bool, Error>) {
    match result {
        Ok(true) => count_write(write, "done"),
        // Another gateway was first.
        Ok(false) => count_write(write, "conflict"),
        Err(error) => {
            count_write(write, "failed");
            log!(core.logger, Event::VersionWriteFailed,
                "what" => what(write), "error" => error.to_string());
        }
    }
}

fn count_write(write: Write, result: &'static str) {
    metrics::counter!("version_writes_total", "what" => what(write), "result" => result)
        .increment(1);
}

const fn what(write: Write) -> &'static str {
    match write {
        Write::Record(..) => "record",
        Write::Retire(..) => "retire",
        Write::Remove(..) => "remove",
        Write::Mark(_) => "mark",
    }
}
