//! Convictions in the key-value service, so that gateways that start later know them, and so
//! that an operator can lift them. One write each; a lease takes them away.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use mulberryyoke_decide::quarantine::{Crash, Suspect, Verdict};
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Digest, ServerId};
use mulberryyoke_platform::kv::Error;
use rand::RngExt;
use tokio::time::sleep;

use crate::core::Core;

/// Prefix of the keys; a request's digest in hexadecimal digits follows.
const KEY_PREFIX: &str = "mulberryyoke/quarantine/";

/// Time for which a conviction is kept there, in milliseconds: as long as its evidence counts.
const LEASE_MS: u64 = 600_000;

/// Pause after a failed write.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time over which what a copy lacks is written again, in milliseconds.
const REWRITE_JITTER_MS: u64 = 1_500;

/// Times that a write is tried, so that an outage of a minute is waited for.
const MAX_ATTEMPTS: u32 = 60;

/// Writes that wait at once; a flood of bad requests is known by messages alone beyond it.
const MAX_PENDING_WRITES: usize = 16;

/// The request that a key names; `None` for other keys.
pub(crate) fn digest_of(key: &str) -> Option<Digest> {
    Digest::parse(key.strip_prefix(KEY_PREFIX)?)
}

/// Reads what is known of a request: the lives that ended under it; none if it was cleared.
pub(crate) fn parse(digest: Digest, value: &[u8]) -> Option<Suspect> {
    let text = std::str::from_utf8(value).ok()?;
    let lives = text.split_whitespace().map(|life| life.parse().ok());
    let crashes = lives.map(|life| {
        Some(Crash {
            server: ServerId(life?),
            age_ms: 0,
        })
    });
    Some(Suspect {
        digest,
        crashes: crashes.collect::<Option<_>>()?,
        success_age_ms: None,
    })
}

/// Writes what is known of a request there, in a task of its own.
pub(super) fn write(core: &Arc<Core>, digest: Digest) {
    let writes = &core.quarantine.pending_writes;
    if writes.fetch_add(1, Ordering::Relaxed) >= MAX_PENDING_WRITES {
        writes.fetch_sub(1, Ordering::Relaxed);
        log!(core.logger, Event::ConvictionWriteFailed,
            "digest" => digest.to_string(), "error" => "too many wait");
        return;
    }
    let core = Arc::clone(core);
    tokio::spawn(async move {
        let end = core.shutdown.terminate.clone();
        tokio::select! {
            () = end.cancelled() => {}
            () = put_with_retries(&core, digest) => {}
        }
        core.quarantine
            .pending_writes
            .fetch_sub(1, Ordering::Relaxed);
    });
}

/// Writes what is known of a request there once more, as a copy lacks it from which the service
/// came back: gateways that start later would let it end as many servers again. The gateway
/// that decides about it does.
pub(crate) fn rewrite(core: &Arc<Core>, digest: Digest) {
    if core.exchange.arbiter(digest).is_some() {
        return;
    }
    let core = Arc::clone(core);
    tokio::spawn(async move {
        // All gateways register again at that time.
        let pause_ms = rand::rng().random_range(0..REWRITE_JITTER_MS);
        sleep(Duration::from_millis(pause_ms)).await;
        write(&core, digest);
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

/// The lives that ended under a request since a run of it last ended well; empty once it is
/// cleared.
fn encode(core: &Core, digest: Digest) -> String {
    if core.quarantine.verdict(digest) == Verdict::Clear {
        return String::new();
    }
    let suspect = core.quarantine.snapshot(digest);
    let success_age_ms = suspect.success_age_ms.unwrap_or(u64::MAX);
    let crashes = suspect
        .crashes
        .iter()
        .filter(|crash| crash.age_ms < success_age_ms);
    let lives: Vec<String> = crashes.map(|crash| crash.server.0.to_string()).collect();
    lives.join(" ")
}
