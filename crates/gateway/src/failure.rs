//! Recording of server failures.

use mulberryyoke_event::{Event, log};
use tokio::time::Instant;

use crate::backend::InFlight;
use crate::call::Call;
use crate::clock;
use crate::core::Core;

/// Records a failed attempt in the server's health and in the log.
pub(crate) fn record(core: &Core, call: &Call, in_flight: &InFlight, failure: &str, error: &str) {
    let backend = &in_flight.backend;
    backend.health.lock().record_failure(Instant::now());
    log!(core.logger, Event::BackendFailed,
        "request" => &call.id,
        "digest" => call.digest().to_string(),
        "server" => &backend.server.name,
        "what" => failure,
        "error" => error,
        "elapsed_ms" => clock::between_ms(call.received_at, Instant::now()));
}
