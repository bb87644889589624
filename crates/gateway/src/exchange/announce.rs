//! Keeping this gateway's address in the key-value service while it lives.

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

/// Prefix of the keys under which gateways tell where they take beats.
pub(crate) const PEERS_PREFIX: &str = "mulberryyoke/gateways/";

/// Prefix of the keys under which gateways tell where they take callers' connections that are
/// handed on. They are apart from the others, which gateways of earlier releases read.
pub(crate) const HANDOFFS_PREFIX: &str = "mulberryyoke/handoffs/";

/// Time after which a gateway that is gone is no longer told anything, in milliseconds.
const LEASE_MS: u64 = 10_000;

/// Time between renewals of the lease. They also tell whether this node itself
/// reaches the service. In milliseconds.
const RENEW_MS: u64 = 1_500;

/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(500);

/// Keeps the address there until the gateway ends.
pub(crate) async fn announce(core: Arc<Core>) {
    let end = core.shutdown.terminate.clone();
    tokio::select! {
        () = end.cancelled() => {}
        () = keep(&core) => {}
    }
}

async fn keep(core: &Core) {
    let mut held = None;
    loop {
        let begun = clock::now_ms();
        match renew(core, held).await {
            Ok(lease) => {
                core.view.record_kv_contact(begun);
                held = Some(lease);
                // While the machine was suspended the lease may have lapsed.
                clock::wait_until(clock::now_ms() + RENEW_MS).await;
            }
            Err(error) => {
                if matches!(error, Error::LeaseExpired) {
                    held = None;
                }
                log!(core.logger, Event::AnnounceFailed, "error" => error.to_string());
                sleep(PAUSE).await;
            }
        }
        if held.is_some_and(|lease: Held| lease.era != core.feed.era()) {
            held = None;
            // All gateways write again then: spread, so that the service does not refuse some.
            let pause_ms = rand::rng().random_range(0..RENEW_MS);
            sleep(Duration::from_millis(pause_ms)).await;
        }
    }
}

/// A lease, and the service's era in which it was granted: when that is over it is gone, and
/// another gateway may have its number.
#[derive(Clone, Copy, Debug)]
struct Held {
    id: LeaseId,
    era: Era,
}

async fn renew(core: &Core, held: Option<Held>) -> Result<Held, Error> {
    let feed = &core.feed;
    if let Some(held) = held {
        feed.keep_alive(held.id).await?;
        return Ok(held);
    }
    let id = feed.grant(LEASE_MS).await?.id;
    let era = feed.era();
    let settings = core.settings.load_full();
    let key = format!("{PEERS_PREFIX}{}", settings.name);
    let peer = Peer {
        address: settings.control,
        place: Placement::new(&settings.zone, settings.processors),
    };
    feed.put(&key, peer.encode().as_bytes(), id).await?;
    if let Some(address) = settings.handoff {
        let key = format!("{HANDOFFS_PREFIX}{}", settings.name);
        feed.put(&key, address.to_string().as_bytes(), id).await?;
    }
    Ok(Held { id, era })
}
