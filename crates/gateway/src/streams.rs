//! Which version of a server's software began a stream, kept so that callers can resume it.
//!
//! Every gateway keeps the origins of its own recent streams. While a pool has, or recently had,
//! servers of several versions, it also tells them to two other gateways, before the first event is
//! relayed, and has them archived in the key-value service; a gateway that is to resume a stream of
//! another one asks three. Nothing is told or asked about a pool of one version. So that this also
//! holds after all gateways were lost, streams begin only on versions that are recorded in the
//! service.

pub(crate) mod archive;
mod ask;
mod knowledge;
mod record_key;
mod records;
mod resume;
pub(crate) mod start;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use mulberryyoke_decide::stream::{Origin, Origins, Sighting, Versions};
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Incarnation, PoolId, StreamId, VersionId};
use mulberryyoke_platform::http::Http;
use mulberryyoke_wire::aggregate;
use mulberryyoke_wire::stream::{self, Entry, Purpose};
use parking_lot::Mutex;
use smallvec::SmallVec;
use tokio::net::UdpSocket;

use self::archive::Archive;
pub(crate) use self::ask::handle_ask;
pub(crate) use self::knowledge::log_first_contents;
use self::records::Recorded;
pub(crate) use self::records::{Listing, apply as apply_record, is_settled, write_due};
pub(crate) use self::resume::required_version;
use crate::call::Call;
use crate::clock;
use crate::config::RequestKind;
use crate::core::Core;
use crate::server::Server;

/// Number of gateways that are told the origin of a stream, beside the one that relays it.
const REPLICAS: usize = 2;

/// Time after the deadline of an attempt for which its stream may still be resumed, in
/// milliseconds. Callers resume within the time that they wait for the whole response.
const LINGER_MS: u64 = 10_000;

/// Interval between expiry runs, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 1_000;

/// Timeout for connecting to another gateway, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 100;

/// Origins of recent streams, and the versions of each pool.
#[derive(Debug)]
pub(crate) struct Streams {
    inner: Mutex<Inner>,
    recorded: Recorded,
    /// Socket from which origins are sent to other gateways.
    socket: Arc<UdpSocket>,
    http: Http,
    archive: Archive,
}

#[derive(Debug, Default)]
struct Inner {
    origins: Origins,
    versions: Versions,
    /// Pools whose streams are told to other gateways.
    mixed: Vec<PoolId>,
    expires_ms: u64,
}

impl Streams {
    pub(crate) fn new(socket: &Arc<UdpSocket>) -> Self {
        Self {
            inner: Mutex::default(),
            recorded: Recorded::default(),
            socket: Arc::clone(socket),
            http: Http::new(CONNECT_TIMEOUT_MS),
            archive: Archive::new(Incarnation(rand::random())),
        }
    }

    /// Versions of pools that recently had several, for other gateways.
    pub(crate) fn versions_for_peers(&self) -> Vec<aggregate::Sighting> {
        let inner = self.inner.lock();
        if inner.mixed.is_empty() {
            return Vec::new();
        }
        let now_ms = clock::now_ms();
        let sightings = inner.versions.observed(&inner.mixed).into_iter();
        let versions = sightings.map(|sighting| aggregate::Sighting {
            pool: sighting.pool,
            version: sighting.version,
            age_ms: now_ms.saturating_sub(sighting.at),
        });
        versions.collect()
    }

    /// Merges the versions that another gateway saw.
    pub(crate) fn receive_versions(&self, versions: &[aggregate::Sighting]) {
        if versions.is_empty() {
            return;
        }
        let now_ms = clock::now_ms();
        let mut inner = self.inner.lock();
        for told in versions {
            inner.versions.merge(Sighting {
                pool: told.pool,
                version: told.version,
                at: now_ms.saturating_sub(told.age_ms),
            });
        }
    }

    /// Versions on which a request may run, if it begins a stream that callers can resume.
    pub(crate) fn usable(&self, call: &Call) -> Option<SmallVec<[VersionId; 4]>> {
        let is_resumable = call.route.kind == RequestKind::Resumable;
        is_resumable.then(|| self.recorded.usable(call.pool))
    }

    fn get(&self, stream: StreamId) -> Option<Origin> {
        self.inner.lock().origins.get(stream, clock::now_ms())
    }

    fn is_mixed(&self, pool: PoolId) -> bool {
        self.inner.lock().versions.is_mixed(pool, clock::now_ms())
    }

    /// Records the origin of streams of this gateway; whether other gateways are to be told.
    fn record_own(&self, streams: &[StreamId], origin: Origin, until_ms: u64) -> bool {
        let now_ms = clock::now_ms();
        let mut inner = self.inner.lock();
        for stream in streams {
            let is_kept = inner
                .origins
                .record(*stream, origin, until_ms, true, now_ms);
            if !is_kept {
                metrics::counter!("stream_origins_dropped_total").increment(1);
            }
        }
        inner.mixed.contains(&origin.pool)
    }
}

/// Records that a server sent the first event of a stream, or of the rest of a stream that the
/// caller resumed.
pub(crate) fn record_origin(core: &Core, call: &Call, server: &Server) {
    if call.route.kind != RequestKind::Resumable {
        return;
    }
    let origin = Origin {
        pool: call.pool,
        version: server.version,
    };
    let until_ms = call.deadline_ms.saturating_add(LINGER_MS);
    // A name that only the caller vouches for may be that of no stream.
    let resumed = call.resumed_stream.filter(|_| call.is_resumption());
    let streams: Vec<StreamId> = [Some(call.stream()), resumed]
        .into_iter()
        .flatten()
        .collect();
    if core.streams.record_own(&streams, origin, until_ms) {
        let left_ms = until_ms.saturating_sub(clock::now_ms());
        let entries = streams.into_iter().map(|stream| Entry {
            stream,
            origin,
            left_ms,
        });
        send(core, entries);
    }
}

/// Observes the versions of all registered servers. Once a pool has several, other gateways are
/// told the origins of the streams that began before.
pub(crate) fn update(core: &Core) {
    let now_ms = clock::now_ms();
    let registered = core.registry.versions();
    let recorded = core.streams.recorded.all();
    let mut inner = core.streams.inner.lock();
    for (pool, version) in registered {
        inner.versions.observe(pool, version, now_ms);
    }
    for (pool, version) in recorded {
        let at = now_ms;
        inner.versions.merge(Sighting { pool, version, at });
    }
    if now_ms >= inner.expires_ms {
        inner.expires_ms = now_ms + EXPIRY_INTERVAL_MS;
        inner.origins.expire(now_ms);
        inner.versions.expire(now_ms);
    }
    let mixed = inner.versions.mixed(now_ms);
    if mixed == inner.mixed {
        return;
    }
    let before = std::mem::replace(&mut inner.mixed, mixed.clone());
    let started = mixed.iter().filter(|pool| !before.contains(pool));
    let entries = started.flat_map(|pool| inner.origins.own(*pool));
    let entries = entries.map(|(stream, origin, until_ms)| Entry {
        stream,
        origin,
        left_ms: until_ms.saturating_sub(now_ms),
    });
    let entries: Vec<Entry> = entries.collect();
    drop(inner);
    log!(core.logger, Event::VersionsMixed,
        "pools" => mixed.len(), "before" => before.len(), "streams" => entries.len());
    send(core, entries.into_iter());
}

/// Sends origins to the gateways that keep them, and has them archived.
fn send(core: &Core, entries: impl Iterator<Item = Entry>) {
    let entries: Vec<Entry> = entries.collect();
    let mut by_address: HashMap<SocketAddr, Vec<Entry>> = HashMap::new();
    for entry in &entries {
        for address in core.exchange.replicas(entry.stream, REPLICAS) {
            by_address.entry(address).or_default().push(*entry);
        }
    }
    for (address, entries) in by_address {
        for packet in stream::encode(&entries, Purpose::Keep) {
            send_packet(core, &packet, address);
        }
    }
    archive::record(core, &entries);
}

fn send_packet(core: &Core, packet: &[u8], address: SocketAddr) {
    if let Err(error) = core.streams.socket.try_send_to(packet, address) {
        let kind = error.kind().to_string();
        metrics::counter!("stream_origins_unsent_total", "kind" => kind).increment(1);
    }
}

/// Keeps the origins that another gateway sent.
pub(crate) fn receive(core: &Core, packet: &[u8]) {
    let Some((purpose, entries)) = stream::decode(packet) else {
        metrics::counter!("beats_unreadable_total", "why" => "stream").increment(1);
        return;
    };
    keep(core, &entries);
    if purpose == Purpose::Archive {
        archive::keep(core, &entries);
    }
}

/// Keeps the origins of other gateways' streams.
fn keep(core: &Core, entries: &[Entry]) {
    let now_ms = clock::now_ms();
    let mut inner = core.streams.inner.lock();
    for entry in entries {
        let until_ms = now_ms.saturating_add(entry.left_ms);
        let Entry { stream, origin, .. } = *entry;
        let is_kept = inner
            .origins
            .record(stream, origin, until_ms, false, now_ms);
        if !is_kept {
            metrics::counter!("stream_origins_dropped_total").increment(1);
        }
        inner.versions.merge(Sighting {
            pool: origin.pool,
            version: origin.version,
            at: now_ms,
        });
    }
}
