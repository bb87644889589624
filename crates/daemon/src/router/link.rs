//! A router's connections to one sidecar, and the state it knows of it.

mod config_sync;
mod control;
mod data;
mod error;
mod session;
mod standing;

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
use data::Data;
pub(crate) use error::Error;
use standing::Standing;

/// Missed heartbeats after which a sidecar counts as unresponsive.
const SILENT_HEARTBEATS: u32 = 3;

/// A sidecar that the router is connected or connecting to.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) id: ServerId,
    pub(crate) pool: PoolId,
    pub(crate) server: Arc<Server>,
    /// Whether it is in the router's availability zone.
    pub(crate) near: bool,
    pub(crate) standing: Standing,
    pub(crate) data: Data,
    heartbeat: Duration,
    control: ArcSwapOption<SidecarClient>,
    linked: watch::Sender<bool>,
    reconsider: Notify,
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
            near: server.zone == core.settings.zone,
            standing: Standing::default(),
            data: Data::new(server.data, heartbeat),
            heartbeat,
            control: ArcSwapOption::empty(),
            linked: watch::Sender::new(false),
            reconsider: Notify::new(),
            cancel: CancellationToken::new(),
        });
        link.standing.start_timeout(clock::now());
        tokio::spawn(session::run(Arc::clone(core), Arc::clone(&link)));
        link
    }

    /// Closes the link. Responses in progress on its data connection continue.
    pub(crate) fn stop(&self) {
        self.cancel.cancel();
    }

    /// Sets whether the server is closed to new work by configuration or VM list.
    pub(crate) fn set_closed(&self, closed: bool) {
        if self.standing.closed.swap(closed, Ordering::Relaxed) != closed {
            self.reconsider.notify_one();
        }
    }

    /// Waits until the control link is connected or the sidecar is unresponsive.
    pub(crate) async fn wait_control(&self) {
        let mut linked = self.linked.subscribe();
        tokio::select! {
            _ = linked.wait_for(|linked| *linked) => {}
            () = self.wait_silent() => {}
        }
    }

    /// Waits until the sidecar is unresponsive. It may be frozen or partitioned, and
    /// its requests may still be running.
    pub(crate) async fn wait_silent(&self) {
        let timeout = self.heartbeat * (SILENT_HEARTBEATS + 1);
        let timeout = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        loop {
            let heard_at = self.standing.heard_at();
            let expires_at = heard_at.saturating_add(timeout);
            tokio::time::sleep_until(clock::instant(expires_at)).await;
            // This process may itself have been suspended: allow time to read
            // responses that have arrived meanwhile.
            tokio::time::sleep(self.heartbeat / 4).await;
            if self.standing.heard_at() == heard_at {
                return;
            }
        }
    }

    fn set_control(&self, client: Option<SidecarClient>) {
        let is_linked = client.is_some();
        self.control.store(client.map(Arc::new));
        self.linked.send_replace(is_linked);
    }

    fn set_up(&self, up: bool) {
        self.standing.up.store(up, Ordering::Relaxed);
    }
}
