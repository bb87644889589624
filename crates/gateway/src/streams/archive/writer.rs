//! Writes the archive of origins, and keeps its lease while it has entries.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mulberryyoke_event::{Event, log};
use mulberryyoke_platform::Backoff;
use mulberryyoke_platform::kv::{Era, Error, LeaseId};
use mulberryyoke_wire::stream::{Entry, encode_value};
use rand::RngExt;
use tokio::time::{sleep, sleep_until};

use super::pace;
use crate::clock;
use crate::core::Core;

/// Time to live of the lease, in milliseconds: origins outlast the gateways by it.
const LEASE_TTL_MS: u64 = 60_000;

/// Interval of lease renewals, in milliseconds.
const RENEW_INTERVAL_MS: u64 = LEASE_TTL_MS / 3;

/// Bounds of the delay after a failed call, in milliseconds.
const RETRY_MS: (u64, u64) = (500, 5_000);

/// A lease, the service's era in which it was granted, and when it is next renewed.
#[derive(Clone, Copy, Debug)]
struct Lease {
    id: LeaseId,
    era: Era,
    renew_ms: u64,
}

/// Writes what has to be written until the gateway terminates.
pub(super) async fn run(core: &Arc<Core>) {
    let mut lease = None;
    let mut backoff = Backoff::new(RETRY_MS.0, RETRY_MS.1);
    loop {
        wait(core, lease).await;
        let Err(error) = step(core, &mut lease).await else {
            backoff.reset();
            continue;
        };
        metrics::counter!("stream_archive_writes_total", "outcome" => "failed").increment(1);
        log!(core.logger, Event::OriginsNotWritten, "error" => error.to_string());
        if matches!(error, Error::LeaseExpired) {
            lease = None;
            record_loss(core);
        }
        let retry_at = backoff.next(Instant::now(), &mut rand::rng());
        sleep_until(retry_at.into()).await;
    }
}

/// Waits until a slot has to be written or the lease renewed.
async fn wait(core: &Core, lease: Option<Lease>) {
    let archive = &core.streams.archive;
    loop {
        let next_write = archive.entries.lock().next_write();
        let renewal = lease.map(|lease| lease.renew_ms);
        let next_at = [next_write, renewal].into_iter().flatten().min();
        let next_at = next_at.unwrap_or(u64::MAX);
        if next_at <= clock::now_ms() {
            return;
        }
        tokio::select! {
            () = archive.recorded.notified() => {}
            () = clock::wait_until(next_at) => {}
        }
    }
}

async fn step(core: &Core, lease: &mut Option<Lease>) -> Result<(), Error> {
    if lease.is_some_and(|lease| lease.era != core.feed.era()) {
        *lease = None;
        record_loss(core);
        spread(core).await;
    }
    if let Some(held) = lease
        && held.renew_ms <= clock::now_ms()
    {
        *lease = renew(core, *held).await?;
    }
    let next_write = core.streams.archive.entries.lock().next_write();
    if next_write.is_none_or(|next| next > clock::now_ms()) {
        return Ok(());
    }
    let held = match *lease {
        Some(held) => held,
        None => *lease.insert(grant(core).await?),
    };
    write(core, held.id).await
}

/// Renews the lease while there are entries; it ends without them.
async fn renew(core: &Core, lease: Lease) -> Result<Option<Lease>, Error> {
    let now_ms = clock::now_ms();
    if !core.streams.archive.entries.lock().is_live(now_ms) {
        return Ok(None);
    }
    core.feed.keep_alive(lease.id).await?;
    let renew_ms = now_ms + RENEW_INTERVAL_MS;
    Ok(Some(Lease { renew_ms, ..lease }))
}

async fn grant(core: &Core) -> Result<Lease, Error> {
    let now_ms = clock::now_ms();
    let id = core.feed.grant(LEASE_TTL_MS).await?.id;
    Ok(Lease {
        id,
        era: core.feed.era(),
        renew_ms: now_ms + RENEW_INTERVAL_MS,
    })
}

/// Writes one slot.
async fn write(core: &Core, lease: LeaseId) -> Result<(), Error> {
    let archive = &core.streams.archive;
    let now_ms = clock::now_ms();
    let pace = pace(core);
    let batch = archive.entries.lock().take(&pace, now_ms, &mut rand::rng());
    let Some(batch) = batch else {
        return Ok(());
    };
    let entries = batch.entries.iter().map(|kept| Entry {
        stream: kept.stream,
        origin: kept.origin,
        left_ms: kept.until.saturating_sub(now_ms),
    });
    let value = encode_value(&entries.collect::<Vec<Entry>>());
    let key = format!("{}{}", archive.keys, batch.slot);
    let result = core.feed.put(&key, &value, lease).await;
    match result {
        Ok(()) => {
            metrics::counter!("stream_archive_writes_total", "outcome" => "written").increment(1);
            metrics::counter!("stream_archive_bytes_total").increment(value.len() as u64);
        }
        Err(_) => archive.entries.lock().record_failure(batch.slot),
    }
    result
}

/// Has every entry written again.
fn record_loss(core: &Core) {
    let archive = &core.streams.archive;
    archive.entries.lock().record_loss(clock::now_ms());
}

/// Waits for a random part of the interval: all gateways lose their leases at the same time.
async fn spread(core: &Core) {
    let delay_ms = rand::rng().random_range(0..=pace(core).interval);
    sleep(Duration::from_millis(delay_ms)).await;
}
