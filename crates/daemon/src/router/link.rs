//! A router's connections to one sidecar, and the state it knows of it.

mod config_sync;
mod control;
mod data_connection;
mod error;
mod session;
mod status;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use mulberryyoke_model::{PoolId, Server, ServerId};
use mulberryyoke_wire::SidecarClient;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use super::core::Core;
use crate::clock;
use data_connection::DataConnection;
pub(crate) use error::Error;
use status::Status;

/// Missed heartbeats after which a sidecar counts as unresponsive.
const MAX_MISSED_HEARTBEATS: u32 = 3;

/// A sidecar that the router is connected or connecting to.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) id: ServerId,
    pub(crate) pool: PoolId,
    pub(crate) server: Arc<Server>,
    /// Whether it is in the router's availability zone.
    pub(crate) same_zone: bool,
    pub(crate) status: Status,
    pub(crate) data: DataConnection,
    heartbeat: Duration,
    client: ArcSwapOption<SidecarClient>,
    connected: watch::Sender<bool>,
    /// Triggers a declaration that considers all customers.
    reevaluate: Notify,
    cancel: CancellationToken,
}

impl Link {
    /// Spawns the task that keeps the sidecar connected until [`Link::stop`].
    pub(crate) fn spawn(core: &Arc<Core>, server: &Arc<Server>) -> Arc<Self> {
        let heartbeat = Duration::from_millis(core.settings.heartbeat_ms);
        let link = Arc::new(Self {
            id: ServerId::of(&server.name),
            pool: PoolId::of(&server.pool),
            server: Arc::clone(server),
            same_zone: server.zone == core.settings.zone,
            status: Status::default(),
            data: DataConnection::new(server.data, heartbeat),
            heartbeat,
            client: ArcSwapOption::empty(),
            connected: watch::Sender::new(false),
            reevaluate: Notify::new(),
            cancel: CancellationToken::new(),
        });
        link.status.start_timeout(clock::now());
        tokio::spawn(session::run(Arc::clone(core), Arc::clone(&link)));
        link
    }

    /// Closes the link. Responses in progress on its data connection continue.
    pub(crate) fn stop(&self) {
        self.cancel.cancel();
    }

    /// Sets whether configuration or VM list exclude the server from new requests.
    pub(crate) fn set_excluded(&self, excluded: bool) {
        if self.status.excluded.swap(excluded, Ordering::Relaxed) != excluded {
            self.reevaluate.notify_one();
        }
    }

    /// Waits until the control link is connected or the sidecar is unresponsive.
    pub(crate) async fn wait_connected(&self) {
        let mut connected = self.connected.subscribe();
        tokio::select! {
            _ = connected.wait_for(|connected| *connected) => {}
            () = self.wait_unresponsive() => {}
        }
    }

    /// Waits until the sidecar is unresponsive. It may be frozen or partitioned, and
    /// its requests may still be running.
    pub(crate) async fn wait_unresponsive(&self) {
        let timeout = self.heartbeat * (MAX_MISSED_HEARTBEATS + 1);
        let timeout = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        loop {
            let last_response_at = self.status.last_response_at();
            let expires_at = last_response_at.saturating_add(timeout);
            tokio::time::sleep_until(clock::instant(expires_at)).await;
            // This process may itself have been suspended: allow time to read
            // responses that have arrived meanwhile.
            tokio::time::sleep(self.heartbeat / 4).await;
            if self.status.last_response_at() == last_response_at {
                return;
            }
        }
    }

    fn set_client(&self, client: Option<SidecarClient>) {
        let is_connected = client.is_some();
        self.client.store(client.map(Arc::new));
        self.connected.send_replace(is_connected);
    }

    fn set_is_up(&self, up: bool) {
        self.status.up.store(up, Ordering::Relaxed);
    }
}
