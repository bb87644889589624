//! Availability zones to whose servers nothing is to be sent.

use std::collections::HashSet;
use std::sync::Arc;

use mulberryyoke_event::{Event, log};

use crate::clock;
use crate::core::Core;

/// Time beyond that of a start for which servers of a zone are taken to be cold once they may be
/// used again, in milliseconds: that they are warm they tell with their next heartbeat.
const MARGIN_MS: u64 = 500;

/// Availability zones to whose servers nothing is to be sent.
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

    /// Lets no more be sent to the servers of a zone.
    pub(super) fn evacuate(&mut self, zone: &str) {
        if !self.names.insert(zone.to_owned()) {
            return;
        }
        let servers = self.core.registry.set_evacuated(zone, true);
        self.tell(zone, servers.len(), true);
    }

    /// Lets the servers of a zone be used again, as cold ones: they may have become so meanwhile.
    pub(super) fn admit(&mut self, zone: &str) {
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
                backend
                    .cold
                    .extend(clock::now_ms() + cold.duration_ms + MARGIN_MS);
            }
        }
        self.tell(zone, servers.len(), false);
    }

    fn tell(&self, zone: &str, servers: usize, is_evacuated: bool) {
        #[expect(clippy::cast_precision_loss, reason = "a gauge is a floating number")]
        metrics::gauge!("zones_evacuated").set(self.names.len() as f64);
        log!(self.core.logger, Event::Evacuated,
            "zone" => zone, "evacuated" => is_evacuated, "servers" => servers);
    }
}
