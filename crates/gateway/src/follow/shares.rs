//! What this gateway may send to cold servers, kept as gateways come and go.

use std::sync::Arc;

use mulberryyoke_decide::aggregate::name_hash;
use mulberryyoke_decide::cold::{Limit, Members, share};

use crate::backend::Backend;
use crate::clock;
use crate::core::Core;

/// What this gateway may send to cold servers.
pub(super) struct Shares {
    core: Arc<Core>,
    pub(super) members: Members,
}

impl Shares {
    pub(super) fn new(core: &Arc<Core>) -> Self {
        Self {
            core: Arc::clone(core),
            members: Members::default(),
        }
    }

    /// Finds the shares of the servers that are cold and of which they are not yet found.
    pub(super) fn settle(&mut self) {
        let now = clock::now_ms();
        self.members.expire(now);
        let view = self.members.view(now);
        let used = self.core.registry.subset();
        let cold = used
            .iter()
            .filter(|backend| backend.cold.is_cold(now) && backend.cold.is_share_stale(view));
        let cold: Vec<&Arc<Backend>> = cold.collect();
        if cold.is_empty() {
            return;
        }
        let own = name_hash(&self.core.settings.load().name);
        let ranks = self.members.ranks(now);
        for backend in cold {
            let requests = self.requests(backend);
            let share = match &ranks {
                Some(ranks) => share(backend.server.id, requests, own, ranks.iter().copied()),
                None => 0,
            };
            backend.cold.set_share(share, view);
        }
    }

    /// Requests a second that a server bears from all gateways together while it is cold.
    fn requests(&self, backend: &Backend) -> u32 {
        let config = self.core.view.config();
        let pool = config
            .as_ref()
            .and_then(|config| config.pool(backend.server.pool));
        let Some(cold) = pool.and_then(|pool| pool.cold) else {
            return u32::MAX;
        };
        let settings = self.core.settings.load();
        let limit = Limit {
            per_s: cold.requests_per_s,
            overage: settings.cold_overage,
            slack: settings.cold_slack,
        };
        limit.requests_per_s()
    }
}
