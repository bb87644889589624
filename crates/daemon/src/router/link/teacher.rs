//! Keeping the configuration of a sidecar and of the router alike.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mulberryyoke_model::{Incarnation, Load, Revision};
use mulberryyoke_wire::SidecarClient;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::control::within;
use super::{Link, SILENT_HEARTBEATS};
use crate::router::core::Core;

/// Heartbeats after which configuration that does not show is sent again.
const PATIENCE_HEARTBEATS: u32 = 10;

/// Compares the configuration of a sidecar and of the router.
pub(super) struct Teacher<'a> {
    core: &'a Arc<Core>,
    link: &'a Arc<Link>,
    client: &'a SidecarClient,
    /// Highest revision sent, and when.
    sent: Option<(Revision, Instant)>,
    /// Since when the sidecar lags behind the revision held.
    behind: Option<(Revision, Instant)>,
}

impl<'a> Teacher<'a> {
    pub(super) fn new(core: &'a Arc<Core>, link: &'a Arc<Link>, client: &'a SidecarClient) -> Self {
        Self {
            core,
            link,
            client,
            sent: None,
            behind: None,
        }
    }

    /// Compares whenever the configuration changes, and again and again.
    pub(super) async fn run(mut self) -> Infallible {
        let mut revision = self.core.fleet.watch();
        loop {
            // While the link is down, the load may be that of an earlier life.
            let load = self.link.standing.load();
            if let Some(load) = load.filter(|_| self.link.standing.is_up()) {
                self.compare(load);
            }
            tokio::select! {
                Ok(()) = revision.changed() => {}
                () = sleep(self.link.heartbeat / 2) => {}
            }
        }
    }

    /// Sends what the sidecar lacks, and takes over what the router lacks.
    fn compare(&mut self, load: Load) {
        let held = self.core.fleet.view().revision();
        if load.revision > held {
            self.catch_up(held);
        }
        let sent = self.sent.filter(|(_, at)| at.elapsed() < self.patience());
        if load.revision >= held || sent.is_some_and(|(revision, _)| revision >= held) {
            self.behind = None;
            return;
        }
        let since = match self.behind {
            Some((revision, since)) if revision == held => since,
            _ => Instant::now(),
        };
        self.behind = Some((held, since));
        // One router after the other, so that most find it done: the next poll
        // tells them.
        let turn = self.link.heartbeat * 3 / 2 * self.rank(load.incarnation);
        if since.elapsed() >= turn {
            self.teach(load.revision, held);
        }
    }

    /// How many routers come before this one.
    fn rank(&self, sidecar: Incarnation) -> u32 {
        let weight = |router: Incarnation| xxh3_64_with_seed(&router.0.to_le_bytes(), sidecar.0);
        let own = weight(self.core.origin());
        let members = self.core.fleet.members();
        let before = members
            .iter()
            .filter(|member| weight(member.incarnation) > own);
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// How long what was sent may take to show.
    fn patience(&self) -> Duration {
        self.link.heartbeat * PATIENCE_HEARTBEATS
    }

    fn teach(&mut self, since: Revision, held: Revision) {
        self.sent = Some((held, Instant::now()));
        let changes = self.core.fleet.config().since(since);
        let client = self.client.clone();
        let limit = self.link.heartbeat * SILENT_HEARTBEATS;
        tokio::spawn(async move {
            let _ = client.configure(within(limit), changes).await;
        });
    }

    fn catch_up(&self, since: Revision) {
        let client = self.client.clone();
        let core = Arc::clone(self.core);
        let limit = self.link.heartbeat * SILENT_HEARTBEATS;
        tokio::spawn(async move {
            // A failure shows in the next load again.
            if let Ok(changes) = client.changes(within(limit), since).await {
                core.fleet.merge(changes);
            }
        });
    }
}
