//! Configuration from other routers and from sidecars.

use std::sync::Arc;

use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Change, Revision};
use mulberryyoke_wire as wire;
use rand::seq::IndexedRandom;
use tokio::time::timeout;

use super::Fleet;
use super::peer::{ANSWER, Peer, context};

/// Sidecars asked at once when nobody else can tell the configuration.
const SIDECARS: usize = 3;

impl Fleet {
    /// Applies accepted configuration, wherever it was heard.
    pub(super) fn accept(&self, changes: Vec<Change>, from: &str) {
        if let Some(revision) = self.store.apply(changes) {
            log!(self.logger, Event::ConfigApplied, "revision" => revision, "from" => from);
        }
    }

    /// Fetches what another router has accepted and this one has not. Routers that
    /// have reached the same revision by different writes compare all of them.
    pub(super) fn catch_up(self: &Arc<Self>, peer: &Arc<Peer>, revision: Revision, digest: u64) {
        let (own, own_digest) = self.store.standing();
        let since = if revision > own {
            own
        } else if revision == own && digest != own_digest && peer.may_compare() {
            0
        } else {
            return;
        };
        let (fleet, peer) = (Arc::clone(self), Arc::clone(peer));
        self.run(async move { fleet.fetch(&peer, since).await });
    }

    async fn fetch(&self, peer: &Peer, since: Revision) {
        let Some(_raised) = peer.fetching.raise() else {
            return;
        };
        let Some(client) = peer.client(&self.bytes).await else {
            return;
        };
        if let Ok(changes) = client.changes(context(), since).await {
            self.accept(changes, &peer.name);
        }
    }

    /// Asks a few sidecars, while neither the key-value service nor another router has
    /// told anything.
    pub(super) async fn ask_sidecars(&self) {
        let sidecars = self.roster.sidecars();
        let asked: Vec<_> = sidecars
            .sample(&mut rand::rng(), SIDECARS)
            .copied()
            .collect();
        for address in asked {
            let connect = wire::connect_sidecar(address, self.control_bytes());
            let Ok(Ok(client)) = timeout(ANSWER, connect).await else {
                continue;
            };
            if let Ok(changes) = client.changes(context(), 0).await {
                self.accept(changes, "sidecar");
            }
        }
    }
}
