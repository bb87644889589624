//! Reads the archive of origins.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mulberryyoke_event::{Event, log};
use mulberryyoke_platform::Backoff;
use mulberryyoke_platform::kv::Contents;
use mulberryyoke_wire::stream::{KEYS, decode_value};
use rand::RngExt;
use tokio::time::{sleep, sleep_until};

use crate::clock;
use crate::core::Core;
use crate::{memory, streams};

/// Maximum size of the archive that is read, in bytes: several times that of a full one, since what
/// earlier processes wrote stays for a while.
const MAX_BYTES: usize = 8 << 20;

/// Interval at which a gateway that has started looks for its first contents.
const START_INTERVAL: Duration = Duration::from_millis(20);

/// Random delay before a read, per gateway, in milliseconds: all may read at the same time.
const SPREAD_PER_GATEWAY_MS: u64 = 5;

/// Bounds of the delay after a failed read, in milliseconds.
const RETRY_MS: (u64, u64) = (1_000, 10_000);

/// Reads whenever a read is wanted, until the gateway terminates.
pub(super) async fn run(core: &Arc<Core>) {
    // The number of gateways is not known before.
    while core.view.config().is_none() {
        sleep(START_INTERVAL).await;
    }
    let archive = &core.streams.archive;
    let mut backoff = Backoff::new(RETRY_MS.0, RETRY_MS.1);
    loop {
        while !archive.reads.lock().is_wanted() {
            archive.wanted.notified().await;
        }
        spread(core).await;
        if read(core).await {
            backoff.reset();
        } else {
            let retry_at = backoff.next(Instant::now(), &mut rand::rng());
            sleep_until(retry_at.into()).await;
        }
    }
}

/// Reads the archive; whether it could be read.
async fn read(core: &Core) -> bool {
    let start_ms = clock::now_ms();
    let max_bytes = memory::max_listing_bytes(core.settings.load().memory_mb).min(MAX_BYTES);
    match core.feed.list(KEYS, max_bytes).await {
        Ok(contents) => {
            let streams = apply(core, &contents);
            core.streams.archive.reads.lock().record(start_ms);
            metrics::counter!("stream_archive_reads_total", "outcome" => "read").increment(1);
            log!(core.logger, Event::OriginsRead,
                "keys" => contents.entries.len(), "streams" => streams,
                "elapsed_ms" => clock::now_ms().saturating_sub(start_ms));
            true
        }
        Err(error) => {
            metrics::counter!("stream_archive_reads_total", "outcome" => "failed").increment(1);
            log!(core.logger, Event::OriginsNotRead, "error" => error.to_string());
            false
        }
    }
}

/// Keeps the origins that other processes wrote; returns their number.
fn apply(core: &Core, contents: &Contents) -> usize {
    let own = &core.streams.archive.keys;
    let others = contents.entries.iter();
    let others = others.filter(|pair| !pair.key.starts_with(own));
    let streams = others.map(|pair| {
        let Some(entries) = decode_value(&pair.value) else {
            metrics::counter!("stream_archive_unreadable_total").increment(1);
            return 0;
        };
        streams::keep(core, &entries);
        entries.len()
    });
    streams.sum()
}

async fn spread(core: &Core) {
    let gateways = u64::try_from(core.exchange.gateway_count()).unwrap_or(u64::MAX);
    let bound_ms = gateways.saturating_mul(SPREAD_PER_GATEWAY_MS);
    let delay_ms = rand::rng().random_range(0..=bound_ms);
    sleep(Duration::from_millis(delay_ms)).await;
}
