//! Convictions in the key-value service, where restarted gateways find them and operators can
//! lift them. Each is written once, with a lease.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use mulberryyoke_event::{Event, log};
use mulberryyoke_platform::kv::Error;
use rand::RngExt;
use tokio::time::sleep;

use super::{Culprit, written};
use crate::core::Core;

/// Lease of a conviction, in milliseconds. Equal to the lifetime of its evidence.
const LEASE_MS: u64 = 600_000;

/// Delay after a failed write.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Maximum random delay before rewriting a conviction that a restored backup lacks, in
/// milliseconds.
const REWRITE_JITTER_MS: u64 = 1_500;

/// Time for the arbiter to write a conviction, after which other gateways do, in milliseconds.
const ARBITER_TIME_MS: u64 = 1_000;

/// Random delay of the others, per gateway, in milliseconds: in a large fleet few write before they
/// learn that one has.
const SPREAD_PER_GATEWAY_MS: u64 = 20;

/// Maximum attempts of a write, which span an outage of a minute.
const MAX_ATTEMPTS: u32 = 60;

/// Maximum concurrent writes. Convictions beyond it spread only by messages between gateways.
const MAX_PENDING_WRITES: usize = 16;

/// Writes a conviction, or that it was lifted, to the key-value service in the background.
pub(super) fn write(core: &Arc<Core>, culprit: Culprit) {
    let writes = &core.quarantine.pending_writes;
    if writes.fetch_add(1, Ordering::Relaxed) >= MAX_PENDING_WRITES {
        writes.fetch_sub(1, Ordering::Relaxed);
        log!(core.logger, Event::ConvictionWriteFailed,
            "digest" => culprit.to_string(), "error" => "too many pending writes");
        return;
    }
    let core = Arc::clone(core);
    tokio::spawn(async move {
        let terminate = core.shutdown.terminate.clone();
        tokio::select! {
            () = terminate.cancelled() => {}
            () = put_with_retries(&core, culprit) => {}
        }
        core.quarantine
            .pending_writes
            .fetch_sub(1, Ordering::Relaxed);
    });
}

/// Rewrites a conviction that was lost when the key-value service was restored from a backup.
/// Without it, restarted gateways would let it crash more servers. Done by its arbiter only.
pub(crate) fn rewrite(core: &Arc<Core>, culprit: Culprit) {
    if core.exchange.arbiter(culprit.digest()).is_some() {
        return;
    }
    let core = Arc::clone(core);
    tokio::spawn(async move {
        // Spreads the load, as all gateways register again at the same time.
        let delay_ms = rand::rng().random_range(0..REWRITE_JITTER_MS);
        sleep(Duration::from_millis(delay_ms)).await;
        write(&core, culprit);
    });
}

/// Writes a conviction that several gateways learn at the same time: its arbiter at
/// once, the others if it has not been written some time later.
pub(super) fn ensure_written(core: &Arc<Core>, culprit: Culprit) {
    let core = Arc::clone(core);
    tokio::spawn(async move {
        if core.exchange.arbiter(culprit.digest()).is_some() {
            let gateways = u64::try_from(core.exchange.gateway_count()).unwrap_or(u64::MAX);
            let spread_ms = gateways.saturating_mul(SPREAD_PER_GATEWAY_MS).max(1);
            let delay_ms = ARBITER_TIME_MS + rand::rng().random_range(0..spread_ms);
            sleep(Duration::from_millis(delay_ms)).await;
        }
        let is_written = core.quarantine.written.lock().contains(&culprit);
        if !is_written {
            write(&core, culprit);
        }
    });
}

async fn put_with_retries(core: &Core, culprit: Culprit) {
    for _ in 0..MAX_ATTEMPTS {
        match put(core, culprit).await {
            Ok(()) => return,
            Err(error) => {
                log!(core.logger, Event::ConvictionWriteFailed,
                    "digest" => culprit.to_string(), "error" => error.to_string());
            }
        }
        sleep(RETRY_DELAY).await;
    }
}

async fn put(core: &Core, culprit: Culprit) -> Result<(), Error> {
    let lease = core.feed.grant(LEASE_MS).await?.id;
    let key = culprit.key();
    core.feed
        .put(&key, encode(core, culprit).as_bytes(), lease)
        .await
}

/// The crashes that convict; empty if it was cleared.
fn encode(core: &Core, culprit: Culprit) -> String {
    match culprit {
        Culprit::Request(digest) => {
            written::encode_request(core.quarantine.counted_servers(digest))
        }
        Culprit::Part(subject) => written::encode_part(&core.quarantine.parts.counted(subject)),
    }
}
