//! Synchronizes configuration between the router and a sidecar.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mulberryyoke_model::{Incarnation, Load, Revision};
use mulberryyoke_wire::SidecarClient;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::control::context_with_timeout;
use super::{Link, MAX_MISSED_HEARTBEATS};
use crate::router::core::Core;

/// Heartbeats after which unacknowledged configuration is sent again.
const RESEND_HEARTBEATS: u32 = 10;

/// Synchronizes configuration with a sidecar.
pub(super) struct ConfigSync<'a> {
    core: &'a Arc<Core>,
    link: &'a Arc<Link>,
    client: &'a SidecarClient,
    /// Highest revision sent, and when it was sent.
    sent: Option<(Revision, Instant)>,
    /// The router's revision, and since when the sidecar has been behind it.
    behind: Option<(Revision, Instant)>,
}

impl<'a> ConfigSync<'a> {
    pub(super) fn new(core: &'a Arc<Core>, link: &'a Arc<Link>, client: &'a SidecarClient) -> Self {
        Self {
            core,
            link,
            client,
            sent: None,
            behind: None,
        }
    }

    /// Compares revisions on every configuration change and periodically.
    pub(super) async fn run(mut self) -> Infallible {
        let mut revision = self.core.fleet.watch();
        loop {
            // While the link is down, the load may be that of an earlier instance.
            let load = self.link.status.load();
            if let Some(load) = load.filter(|_| self.link.status.is_up()) {
                self.compare(load);
            }
            tokio::select! {
                Ok(()) = revision.changed() => {}
                () = sleep(self.link.heartbeat / 2) => {}
            }
        }
    }

    /// Sends newer configuration to the sidecar, or fetches it from there.
    fn compare(&mut self, load: Load) {
        let current = self.core.fleet.view().revision();
        if load.revision > current {
            self.fetch(current);
        }
        let sent = self
            .sent
            .filter(|(_, at)| at.elapsed() < self.resend_timeout());
        if load.revision >= current || sent.is_some_and(|(revision, _)| revision >= current) {
            self.behind = None;
            return;
        }
        let since = match self.behind {
            Some((revision, since)) if revision == current => since,
            _ => Instant::now(),
        };
        self.behind = Some((current, since));
        // Routers send in the order of their rank, so that most of them learn from a
        // poll that the sidecar is already up to date.
        let delay = self.link.heartbeat * 3 / 2 * self.rank(load.incarnation);
        if since.elapsed() >= delay {
            self.send(load.revision, current);
        }
    }

    /// Number of routers that send before this one.
    fn rank(&self, sidecar: Incarnation) -> u32 {
        let weight = |router: Incarnation| xxh3_64_with_seed(&router.0.to_le_bytes(), sidecar.0);
        let own = weight(self.core.incarnation());
        let members = self.core.fleet.members();
        let higher = members
            .iter()
            .filter(|member| weight(member.incarnation) > own);
        u32::try_from(higher.count()).unwrap_or(u32::MAX)
    }

    /// Time to wait for a sent revision to appear in the sidecar's load.
    fn resend_timeout(&self) -> Duration {
        self.link.heartbeat * RESEND_HEARTBEATS
    }

    fn send(&mut self, since: Revision, current: Revision) {
        self.sent = Some((current, Instant::now()));
        let changes = self.core.fleet.changes_since(since);
        let client = self.client.clone();
        let timeout = self.link.heartbeat * MAX_MISSED_HEARTBEATS;
        tokio::spawn(async move {
            let _ = client
                .configure(context_with_timeout(timeout), changes)
                .await;
        });
    }

    fn fetch(&self, since: Revision) {
        let client = self.client.clone();
        let core = Arc::clone(self.core);
        let timeout = self.link.heartbeat * MAX_MISSED_HEARTBEATS;
        tokio::spawn(async move {
            // The next load triggers a retry after a failure.
            if let Ok(changes) = client.changes(context_with_timeout(timeout), since).await {
                core.fleet.merge(changes);
            }
        });
    }
}
