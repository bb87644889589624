//! Lives of servers that said something of themselves, kept beyond their registrations.

use std::collections::HashMap;
use std::sync::Arc;

use mulberryyoke_model::ServerId;
use parking_lot::Mutex;

use crate::backend::Life;
use crate::clock;

/// Time for which a life is remembered that is no longer registered, in milliseconds: one whose
/// registration lapsed in an outage, or that a restored copy lacks, registers again within
/// seconds, and one that leaves may serve on for as long.
const KEPT_MS: u64 = 60_000;

/// Lives of servers that said something of themselves.
#[derive(Debug, Default)]
pub(crate) struct Lives {
    lives: Mutex<HashMap<ServerId, Arc<Life>>>,
}

impl Lives {
    /// What is known of a life, or a new record of it.
    pub(super) fn of(&self, server: ServerId) -> Arc<Life> {
        let lives = self.lives.lock();
        lives.get(&server).cloned().unwrap_or_default()
    }

    /// Remembers a life that said something.
    pub(crate) fn keep(&self, server: ServerId, life: &Arc<Life>) {
        let now_ms = clock::now_ms();
        let mut lives = self.lives.lock();
        lives.retain(|_, life| {
            let is_registered = Arc::strong_count(life) > 1;
            is_registered || now_ms.saturating_sub(life.seen_ms()) < KEPT_MS
        });
        lives.insert(server, Arc::clone(life));
    }
}
