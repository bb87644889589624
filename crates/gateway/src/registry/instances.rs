//! Instances of servers that said something of themselves, kept beyond their registrations.

use std::collections::HashMap;
use std::sync::Arc;

use mulberryyoke_model::ServerId;
use mulberryyoke_wire::aggregate::Leaving;
use parking_lot::Mutex;

use crate::backend::Instance;
use crate::clock;

/// Time for which a life is remembered that is no longer registered, in milliseconds: one whose
/// registration lapsed in an outage, or that a restored copy lacks, registers again within
/// seconds, and one that leaves may serve on for as long.
const KEPT_MS: u64 = 60_000;

/// Instances that one message tells of: 64 take less than 700 bytes.
const MOST_TOLD: usize = 64;

/// Instances of servers that said something of themselves.
#[derive(Debug, Default)]
pub(crate) struct Instances {
    instances: Mutex<HashMap<ServerId, Arc<Instance>>>,
}

impl Instances {
    /// What is known of a life, or a new record of it.
    pub(super) fn get_or_new(&self, server: ServerId) -> Arc<Instance> {
        let instances = self.instances.lock();
        instances.get(&server).cloned().unwrap_or_default()
    }

    /// Remembers a life that said something.
    pub(crate) fn insert(&self, server: ServerId, life: &Arc<Instance>) {
        let now_ms = clock::now_ms();
        let mut instances = self.instances.lock();
        instances.retain(|_, life| {
            let is_registered = Arc::strong_count(life) > 1;
            is_registered || now_ms.saturating_sub(life.last_seen_ms()) < KEPT_MS
        });
        instances.insert(server, Arc::clone(life));
    }

    /// What other gateways are to be told: lives that lately said that they leave, the latest
    /// first.
    pub(crate) fn announcements(&self) -> Vec<Leaving> {
        let instances = self.instances.lock();
        if instances.is_empty() {
            return Vec::new();
        }
        let now_ms = clock::now_ms();
        let told = instances.iter().filter_map(|(&server, life)| {
            let age_ms = life.announcement_age_ms(now_ms)?;
            Some(Leaving { server, age_ms })
        });
        let mut told: Vec<Leaving> = told.collect();
        told.sort_by_key(|told| (told.age_ms, told.server));
        told.truncate(MOST_TOLD);
        told
    }

    /// Takes in what another gateway told of a life: the one that is registered, or one that may
    /// be registered yet. `true` if it is new here.
    pub(crate) fn receive(&self, told: Leaving, registered: Option<Arc<Instance>>) -> bool {
        let life = registered.unwrap_or_else(|| self.get_or_new(told.server));
        let is_new = life.receive_announcement(told.age_ms, clock::now_ms());
        if is_new {
            self.insert(told.server, &life);
        }
        is_new
    }
}
