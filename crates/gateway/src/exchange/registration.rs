//! Registration of this gateway's addresses in the key-value service under a lease.

use std::sync::Arc;
use std::time::Duration;

use mulberryyoke_decide::aggregate::Placement;
use mulberryyoke_event::{Event, log};
use mulberryyoke_platform::kv::{Era, Error, LeaseId};
use rand::RngExt;
use tokio::time::sleep;

use super::Peer;
use crate::clock;
use crate::core::Core;

/// Key prefix of the addresses at which gateways receive messages.
pub(crate) const PEERS_PREFIX: &str = "mulberryyoke/gateways/";

/// Key prefix of the addresses at which gateways accept handed-off connections. Separate from
/// [`PEERS_PREFIX`], whose values gateways of earlier releases parse.
pub(crate) const HANDOFFS_PREFIX: &str = "mulberryyoke/handoffs/";

/// Time to live of the lease, after which peers no longer send to a terminated gateway, in
/// milliseconds.
const LEASE_TTL_MS: u64 = 10_000;

/// Interval of lease renewals, in milliseconds. They also show whether this node can reach the
/// service.
const RENEW_INTERVAL_MS: u64 = 1_500;

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Keeps the gateway registered until it terminates.
pub(crate) async fn register(core: Arc<Core>) {
    let terminate = core.shutdown.terminate.clone();
    tokio::select! {
        () = terminate.cancelled() => {}
        () = keep_registered(&core) => {}
    }
}

async fn keep_registered(core: &Core) {
    let mut lease = None;
    loop {
        let started_ms = clock::now_ms();
        match renew(core, lease).await {
            Ok(renewed) => {
                core.view.record_kv_contact(started_ms);
                lease = Some(renewed);
                // The boot clock also advances during a suspension, in which the lease may expire.
                clock::wait_until(clock::now_ms() + RENEW_INTERVAL_MS).await;
            }
            Err(error) => {
                if matches!(error, Error::LeaseExpired) {
                    lease = None;
                }
                log!(core.logger, Event::AnnounceFailed, "error" => error.to_string());
                sleep(RETRY_DELAY).await;
            }
        }
        if lease.is_some_and(|lease: Lease| lease.era != core.feed.era()) {
            lease = None;
            // Random jitter: all gateways register again at the same time.
            let jitter_ms = rand::rng().random_range(0..RENEW_INTERVAL_MS);
            sleep(Duration::from_millis(jitter_ms)).await;
        }
    }
}

/// A lease and the service's era in which it was granted. In a later era, the ID may belong to
/// another gateway's lease.
#[derive(Clone, Copy, Debug)]
struct Lease {
    id: LeaseId,
    era: Era,
}

async fn renew(core: &Core, lease: Option<Lease>) -> Result<Lease, Error> {
    let feed = &core.feed;
    if let Some(lease) = lease {
        feed.keep_alive(lease.id).await?;
        return Ok(lease);
    }
    let id = feed.grant(LEASE_TTL_MS).await?.id;
    let era = feed.era();
    let settings = core.settings.load_full();
    let key = format!("{PEERS_PREFIX}{}", settings.name);
    let peer = Peer {
        address: settings.control,
        placement: Placement::new(&settings.zone, settings.processors),
    };
    feed.put(&key, peer.encode().as_bytes(), id).await?;
    if let Some(address) = settings.handoff {
        let key = format!("{HANDOFFS_PREFIX}{}", settings.name);
        feed.put(&key, address.to_string().as_bytes(), id).await?;
    }
    Ok(Lease { id, era })
}
