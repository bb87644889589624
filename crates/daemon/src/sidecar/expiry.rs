//! Expiry of grants.

use std::sync::Arc;

use super::shared::Shared;
use crate::clock;

/// Frees the reserved slots of expired grants. Runs until dropped.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let next = shared.decide(|admission, now| {
            admission.tick(now);
            admission.next_grant_expiry()
        });
        match next {
            Some(at) => tokio::time::sleep_until(clock::instant(at)).await,
            None => shared.slots_reserved.notified().await,
        }
    }
}
