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

/// Logs how a run ended whose connection broke off, and whether its server was found crashed.
pub(crate) fn log_broken_run(core: &Core, call: &Call, in_flight: &InFlight, has_crashed: bool) {
    let end = if in_flight.answer().is_some() {
        "broken"
    } else {
        "no_answer"
    };
    log_run_end(core, call, in_flight, end, Some(has_crashed));
}

/// Logs a run whose answer ended with its connection, as it has neither a length nor chunks. It
/// is complete, as its server was proven to live on.
pub(crate) fn log_connection_end(core: &Core, call: &Call, in_flight: &InFlight) {
    let answer = in_flight.answer();
    if answer.is_some_and(|answer| answer.ends_with_connection()) {
        log_run_end(core, call, in_flight, "connection", None);
    }
}

fn log_run_end(
    core: &Core,
    call: &Call,
    in_flight: &InFlight,
    end: &str,
    has_crashed: Option<bool>,
) {
    let now = Instant::now();
    let answer = in_flight.answer();
    log!(core.logger, Event::RunEnded,
        "request" => &call.id,
        // A body is hashed only for a run that broke off.
        "digest" => has_crashed.map(|_| call.digest().to_string()),
        "server" => &in_flight.backend.server.name,
        "end" => end,
        "crashed" => has_crashed,
        "written_ms" => answer.map(|answer| clock::between_ms(answer.began_at, now)),
        "first_token_ms" => in_flight.first_token_ms(),
        "ran_ms" => clock::between_ms(in_flight.sent_at, now));
    metrics::counter!("run_ends_total", "end" => end.to_owned()).increment(1);
}
