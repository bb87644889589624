//! Configuration from other routers and from sidecars.

use std::sync::Arc;

use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Change, Revision};
use mulberryyoke_wire as wire;
use rand::seq::IndexedRandom;
use tokio::time::timeout;

use super::Fleet;
use super::peer::{CALL_TIMEOUT, Peer, call_context};

/// Sidecars queried when neither the key-value service nor a router has answered.
const SIDECAR_SAMPLE: usize = 3;

impl Fleet {
    /// Applies accepted configuration; `from` is its source in the log.
    pub(super) fn apply(&self, changes: Vec<Change>, from: &str) {
        if let Some(revision) = self.store.apply(changes) {
            log!(self.logger, Event::ConfigApplied, "revision" => revision, "from" => from);
        }
    }

    /// Fetches the changes that a peer has accepted and this router has not. If both
    /// have the same revision with different contents, fetches all changes.
    pub(super) fn catch_up(self: &Arc<Self>, peer: &Arc<Peer>, revision: Revision, digest: u64) {
        let (own, own_digest) = self.store.version();
        let since = if revision > own {
            own
        } else if revision == own && digest != own_digest && peer.try_start_comparison() {
            0
        } else {
            return;
        };
        let (fleet, peer) = (Arc::clone(self), Arc::clone(peer));
        self.spawn_task(async move { fleet.fetch(&peer, since).await });
    }

    async fn fetch(&self, peer: &Peer, since: Revision) {
        let Some(_guard) = peer.fetching.try_acquire() else {
            return;
        };
        let Some(client) = peer.client(&self.bytes).await else {
            return;
        };
        if let Ok(changes) = client.changes(call_context(), since).await {
            self.apply(changes, &peer.name);
        }
    }

    /// Fetches the configuration from a few random sidecars, as a fallback for the
    /// key-value service and the other routers.
    pub(super) async fn fetch_from_sidecars(&self) {
        let sidecars = self.vm_list.sidecars();
        let sampled: Vec<_> = sidecars
            .sample(&mut rand::rng(), SIDECAR_SAMPLE)
            .copied()
            .collect();
        for address in sampled {
            let connect = wire::connect_sidecar(address, self.control_bytes());
            let Ok(Ok(client)) = timeout(CALL_TIMEOUT, connect).await else {
                continue;
            };
            if let Ok(changes) = client.changes(call_context(), 0).await {
                self.apply(changes, "sidecar");
            }
        }
    }
}
