//! Origins of streams in the key-value service, where they outlast the loss of every gateway.
//!
//! While a pool has, or recently had, servers of several versions, the origins of its streams are
//! written in the background, under a lease. A gateway reads them after its start, and again when
//! no other gateway knows a stream. What is missing there proves nothing.

mod reader;
mod writer;

use std::sync::Arc;

use mulberryyoke_decide::stream::{Archive as Entries, Kept, Pace, Reads};
use mulberryyoke_model::Incarnation;
use mulberryyoke_wire::stream::{self, Entry, KEYS, Purpose};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::clock;
use crate::core::Core;

/// The archive, as this gateway writes and reads it.
#[derive(Debug)]
pub(super) struct Archive {
    /// Key prefix of this process. What an earlier one wrote stays until its lease ends.
    keys: String,
    entries: Mutex<Entries>,
    /// Wakes the writer.
    recorded: Notify,
    reads: Mutex<Reads>,
    /// Wakes the reader.
    wanted: Notify,
}

impl Archive {
    pub(super) fn new(process: Incarnation) -> Self {
        Self {
            keys: format!("{KEYS}{:016x}/", process.0),
            entries: Mutex::default(),
            recorded: Notify::new(),
            reads: Mutex::default(),
            wanted: Notify::new(),
        }
    }
}

/// Writes and reads the archive until the gateway terminates.
pub(crate) async fn run(core: Arc<Core>) {
    let terminate = core.shutdown.terminate.clone();
    tokio::select! {
        () = terminate.cancelled() => {}
        () = writer::run(&core) => {}
        () = reader::run(&core) => {}
    }
}

/// Returns whether a read that is not complete may bring a stream that is not known, and has one
/// made if the last one is old.
pub(super) fn may_know_more(core: &Arc<Core>) -> bool {
    let gateways = core.exchange.gateway_count();
    let archive = &core.streams.archive;
    let may_know_more = archive
        .reads
        .lock()
        .may_bring_more(gateways, clock::now_ms());
    if may_know_more {
        archive.wanted.notify_one();
    }
    may_know_more
}

/// Has the origins of this gateway's streams written: by itself or, in a large fleet, by another.
pub(super) fn record(core: &Core, entries: &[Entry]) {
    let pace = pace(core);
    let Some(address) = core.exchange.archive_writer(pace.writers) else {
        return keep(core, entries);
    };
    for packet in stream::encode(entries, Purpose::Archive) {
        super::send_packet(core, &packet, address);
    }
}

/// Has origins written by this gateway.
pub(super) fn keep(core: &Core, entries: &[Entry]) {
    let pace = pace(core);
    let now_ms = clock::now_ms();
    let archive = &core.streams.archive;
    let mut kept = archive.entries.lock();
    for entry in entries {
        let entry = Kept {
            stream: entry.stream,
            origin: entry.origin,
            until: now_ms.saturating_add(entry.left_ms),
        };
        if !kept.record(entry, &pace, now_ms) {
            metrics::counter!("stream_archive_dropped_total").increment(1);
        }
    }
    drop(kept);
    archive.recorded.notify_one();
}

fn pace(core: &Core) -> Pace {
    let writes_per_s = core.settings.load().kv_writes_per_s;
    Pace::of(writes_per_s, core.exchange.gateway_count())
}
