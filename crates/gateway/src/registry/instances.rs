//! Announcements and pushback of server instances, kept beyond their registrations.

use std::collections::HashMap;
use std::sync::Arc;

use mulberryyoke_model::ServerId;
use mulberryyoke_wire::aggregate::Leaving;
use parking_lot::Mutex;

use crate::backend::Instance;
use crate::clock;

/// Time for which an instance is kept that is no longer registered, in milliseconds: after an
/// outage or a restore it may register again within seconds, and one that is leaving may serve on
/// for as long.
const RETENTION_MS: u64 = 60_000;

/// Maximum number of announcements in a message: 64 take less than 700 bytes.
const MAX_ANNOUNCEMENTS: usize = 64;

/// Instances of servers that sent announcements or pushback.
#[derive(Debug, Default)]
pub(crate) struct Instances {
    instances: Mutex<HashMap<ServerId, Arc<Instance>>>,
}

impl Instances {
    /// The kept record of an instance, or a new one.
    pub(super) fn get_or_new(&self, server: ServerId) -> Arc<Instance> {
        let instances = self.instances.lock();
        instances.get(&server).cloned().unwrap_or_default()
    }

    /// Keeps an instance that sent an announcement or pushback.
    pub(crate) fn insert(&self, server: ServerId, instance: &Arc<Instance>) {
        let now_ms = clock::now_ms();
        let mut instances = self.instances.lock();
        instances.retain(|_, instance| {
            let is_registered = Arc::strong_count(instance) > 1;
            is_registered || now_ms.saturating_sub(instance.last_seen_ms()) < RETENTION_MS
        });
        instances.insert(server, Arc::clone(instance));
    }

    /// Recent announcements for other gateways, latest first.
    pub(crate) fn announcements(&self) -> Vec<Leaving> {
        let instances = self.instances.lock();
        if instances.is_empty() {
            return Vec::new();
        }
        let now_ms = clock::now_ms();
        let announcements = instances.iter().filter_map(|(&server, instance)| {
            let age_ms = instance.announcement_age_ms(now_ms)?;
            Some(Leaving { server, age_ms })
        });
        let mut announcements: Vec<Leaving> = announcements.collect();
        announcements.sort_by_key(|leaving| (leaving.age_ms, leaving.server));
        announcements.truncate(MAX_ANNOUNCEMENTS);
        announcements
    }

    /// Merges an announcement from another gateway, of a registered instance or of one that is not
    /// registered here yet; `true` if it is new.
    pub(crate) fn receive(&self, leaving: Leaving, registered: Option<Arc<Instance>>) -> bool {
        let instance = registered.unwrap_or_else(|| self.get_or_new(leaving.server));
        let is_new = instance.receive_announcement(leaving.age_ms, clock::now_ms());
        if is_new {
            self.insert(leaving.server, &instance);
        }
        is_new
    }
}
