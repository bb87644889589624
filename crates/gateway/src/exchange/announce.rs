//! Keeping this gateway's address in the key-value service while it lives.

use std::sync::Arc;
use std::time::Duration;

use mulberryyoke_decide::aggregate::Place;
use mulberryyoke_event::{Event, log};
use mulberryyoke_platform::kv::{Error, LeaseId};
use tokio::time::sleep;

use super::Peer;
use crate::clock;
use crate::core::Core;

/// Prefix of the keys under which gateways tell where they take beats.
pub(crate) const PREFIX: &str = "mulberryyoke/gateways/";

/// Time after which a gateway that is gone is no longer told anything, in milliseconds.
const LEASE_MS: u64 = 10_000;

/// Time between renewals of the lease. They also tell whether this node itself
/// reaches the service. In milliseconds.
const RENEW_MS: u64 = 1_500;

/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(500);

/// Keeps the address there until the gateway ends.
pub(crate) async fn announce(core: Arc<Core>) {
    let end = core.stop.end.clone();
    tokio::select! {
        () = end.cancelled() => {}
        () = keep(&core) => {}
    }
}

async fn keep(core: &Core) {
    let mut lease = None;
    loop {
        let begun = clock::now_ms();
        match renew(core, lease).await {
            Ok(id) => {
                core.view.reach(begun);
                lease = Some(id);
                // While the machine was suspended the lease may have lapsed.
                clock::wait_until(clock::now_ms() + RENEW_MS).await;
            }
            Err(error) => {
                if matches!(error, Error::Lapsed) {
                    lease = None;
                }
                log!(core.logger, Event::AnnounceFailed, "error" => error.to_string());
                sleep(PAUSE).await;
            }
        }
    }
}

async fn renew(core: &Core, lease: Option<LeaseId>) -> Result<LeaseId, Error> {
    let feed = &core.feed;
    if let Some(id) = lease {
        return feed.keep(id).await.map(|lease| lease.id);
    }
    let id = feed.grant(LEASE_MS).await?.id;
    let settings = core.settings.load_full();
    let key = format!("{PREFIX}{}", settings.name);
    let peer = Peer {
        address: settings.control,
        place: Place::new(&settings.zone, settings.processors),
    };
    feed.put(&key, peer.write().as_bytes(), id).await?;
    Ok(id)
}
