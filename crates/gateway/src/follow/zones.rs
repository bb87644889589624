//! Evacuated availability zones, whose servers get no requests.

use std::collections::HashSet;
use std::sync::Arc;

use mulberryyoke_event::{Event, log};

use crate::clock;
use crate::core::Core;

/// Time beyond a cold start for which servers of a zone count as cold after an evacuation, in
/// milliseconds: their next heartbeat reports whether they are warm.
const COLD_MARGIN_MS: u64 = 500;

/// The evacuated availability zones.
pub(super) struct Zones {
    core: Arc<Core>,
    names: HashSet<String>,
}

impl Zones {
    pub(super) fn new(core: &Arc<Core>) -> Self {
        Self {
            core: Arc::clone(core),
            names: HashSet::new(),
        }
    }

    /// Stops sending requests to the servers of a zone.
    pub(super) fn evacuate(&mut self, zone: &str) {
        if !self.names.insert(zone.to_owned()) {
            return;
        }
        let servers = self.core.registry.set_evacuated(zone, true);
        self.report(zone, servers.len(), true);
    }

    /// Uses the servers of a zone again. They count as cold, since they may have become so
    /// without requests.
    pub(super) fn restore(&mut self, zone: &str) {
        if !self.names.remove(zone) {
            return;
        }
        let config = self.core.view.config();
        let servers = self.core.registry.set_evacuated(zone, false);
        for backend in &servers {
            let pool = config
                .as_ref()
                .and_then(|config| config.pool(backend.server.pool));
            if let Some(cold) = pool.and_then(|pool| pool.cold) {
                let cold_ms = cold.duration_ms.saturating_add(COLD_MARGIN_MS);
                backend.cold.extend(clock::ms_from_now(cold_ms));
            }
        }
        self.report(zone, servers.len(), false);
    }

    fn report(&self, zone: &str, servers: usize, is_evacuated: bool) {
        #[expect(
            clippy::cast_precision_loss,
            reason = "gauges are floating-point numbers"
        )]
        metrics::gauge!("zones_evacuated").set(self.names.len() as f64);
        log!(self.core.logger, Event::Evacuated,
            "zone" => zone, "evacuated" => is_evacuated, "servers" => servers);
    }
}
