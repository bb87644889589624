//! Convictions in the key-value service, where restarted gateways find them and operators can
//! lift them. Each is written once, with a lease.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use mulberryyoke_decide::quarantine::{Crash, Suspect};
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Digest, ServerId};
use mulberryyoke_platform::kv::Error;
use rand::RngExt;
use tokio::time::sleep;

use crate::core::Core;

/// Prefix of the keys, followed by the digest of the request in hexadecimal.
const KEY_PREFIX: &str = "mulberryyoke/quarantine/";

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

/// Digest of the request in a key; `None` for other keys.
pub(crate) fn digest_of(key: &str) -> Option<Digest> {
    Digest::parse(key.strip_prefix(KEY_PREFIX)?)
}

/// Parses a conviction: the instances that crashed while running the request, or none if it was
/// cleared.
pub(crate) fn parse(digest: Digest, value: &[u8]) -> Option<Suspect> {
    let text = std::str::from_utf8(value).ok()?;
    let instances = text
        .split_whitespace()
        .map(|instance| instance.parse().ok());
    let crashes = instances.map(|instance| {
        Some(Crash {
            server: ServerId(instance?),
            age_ms: 0,
        })
    });
    Some(Suspect {
        digest,
        crashes: crashes.collect::<Option<_>>()?,
        success_age_ms: None,
    })
}

/// Writes the record of a request to the key-value service in the background.
pub(super) fn write(core: &Arc<Core>, digest: Digest) {
    let writes = &core.quarantine.pending_writes;
    if writes.fetch_add(1, Ordering::Relaxed) >= MAX_PENDING_WRITES {
        writes.fetch_sub(1, Ordering::Relaxed);
        log!(core.logger, Event::ConvictionWriteFailed,
            "digest" => digest.to_string(), "error" => "too many pending writes");
        return;
    }
    let core = Arc::clone(core);
    tokio::spawn(async move {
        let terminate = core.shutdown.terminate.clone();
        tokio::select! {
            () = terminate.cancelled() => {}
            () = put_with_retries(&core, digest) => {}
        }
        core.quarantine
            .pending_writes
            .fetch_sub(1, Ordering::Relaxed);
    });
}

/// Rewrites a conviction that was lost when the key-value service was restored from a backup.
/// Without it, restarted gateways would let the request crash more servers. Done by the arbiter of
/// the request only.
pub(crate) fn rewrite(core: &Arc<Core>, digest: Digest) {
    if core.exchange.arbiter(digest).is_some() {
        return;
    }
    let core = Arc::clone(core);
    tokio::spawn(async move {
        // Spreads the load, as all gateways register again at the same time.
        let delay_ms = rand::rng().random_range(0..REWRITE_JITTER_MS);
        sleep(Duration::from_millis(delay_ms)).await;
        write(&core, digest);
    });
}

/// Writes a conviction that several gateways learn at the same time: the arbiter of the request at
/// once, the others if it has not been written some time later.
pub(super) fn ensure_written(core: &Arc<Core>, digest: Digest) {
    let core = Arc::clone(core);
    tokio::spawn(async move {
        if core.exchange.arbiter(digest).is_some() {
            let gateways = u64::try_from(core.exchange.gateway_count()).unwrap_or(u64::MAX);
            let spread_ms = gateways.saturating_mul(SPREAD_PER_GATEWAY_MS).max(1);
            let delay_ms = ARBITER_TIME_MS + rand::rng().random_range(0..spread_ms);
            sleep(Duration::from_millis(delay_ms)).await;
        }
        let is_written = core.quarantine.written.lock().contains(&digest);
        if !is_written {
            write(&core, digest);
        }
    });
}

async fn put_with_retries(core: &Core, digest: Digest) {
    for _ in 0..MAX_ATTEMPTS {
        match put(core, digest).await {
            Ok(()) => return,
            Err(error) => {
                log!(core.logger, Event::ConvictionWriteFailed,
                    "digest" => digest.to_string(), "error" => error.to_string());
            }
        }
        sleep(RETRY_DELAY).await;
    }
}

async fn put(core: &Core, digest: Digest) -> Result<(), Error> {
    let lease = core.feed.grant(LEASE_MS).await?.id;
    let key = format!("{KEY_PREFIX}{digest}");
    core.feed
        .put(&key, encode(core, digest).as_bytes(), lease)
        .await
}

/// Instances whose crashes count against the request; empty if it was cleared.
fn encode(core: &Core, digest: Digest) -> String {
    let servers = core.quarantine.counted_servers(digest).into_iter();
    let instances: Vec<String> = servers.map(|server| server.0.to_string()).collect();
    instances.join(" ")
}
