//! Reachability probe of the backend.

use std::sync::Arc;
use std::time::Duration;

use mulberryyoke_event::{Event, log};

use super::shared::Shared;

/// Interval between connection attempts.
const INTERVAL: Duration = Duration::from_millis(250);

/// Whenever the backend is marked down, probes it until it accepts a connection.
/// Runs until dropped.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        shared.backend_down.notified().await;
        log!(shared.logger, Event::BackendDown,
            "backend" => shared.settings.backend.to_string());
        while !shared.backend.is_reachable().await {
            tokio::time::sleep(INTERVAL).await;
        }
        shared.decide(|admission, now| admission.set_backend_down(false, now));
        log!(shared.logger, Event::BackendUp,
            "backend" => shared.settings.backend.to_string());
    }
}
