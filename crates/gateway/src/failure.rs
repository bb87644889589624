//! Failures of servers, seen in the answers to requests.

use mulberryyoke_event::{Event, log};
use tokio::time::Instant;

use crate::backend::InFlight;
use crate::call::Call;
use crate::clock;
use crate::core::Core;

/// Notes a failure of a server.
pub(crate) fn fail(core: &Core, call: &Call, running: &InFlight, what: &str, why: &str) {
    let backend = &running.backend;
    backend.health.lock().record_failure(Instant::now());
    log!(core.logger, Event::BackendFailed,
        "request" => &call.id,
        "digest" => call.digest().to_string(),
        "server" => &backend.server.name,
        "what" => what,
        "error" => why,
        "elapsed_ms" => clock::between_ms(call.received_at, Instant::now()));
}
