//! Watching a backend that could not be reached.

use std::sync::Arc;
use std::time::Duration;

use mulberryyoke_event::{Event, log};

use super::shared::Shared;

/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(250);

/// Each time the backend was found down, tries until it can be reached again;
/// until dropped.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        shared.down.notified().await;
        log!(shared.logger, Event::BackendDown,
            "backend" => shared.settings.backend.to_string());
        while !shared.backend.answers().await {
            tokio::time::sleep(PAUSE).await;
        }
        shared.decide(|admission, now| admission.set_backend_down(false, now));
        log!(shared.logger, Event::BackendUp,
            "backend" => shared.settings.backend.to_string());
    }
}
