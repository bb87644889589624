//! Record of an attempt: the inputs of the server selection.

use mulberryyoke_event::{Event, log};
use mulberryyoke_model::saturating_u32;
use tokio::time::Instant;

use crate::backend::InFlight;
use crate::call::Call;
use crate::clock;
use crate::core::Core;

/// Records that a request is sent to its assigned server.
pub(super) fn record(core: &Core, call: &Call, in_flight: &InFlight, attempt: u32) {
    let (fetch_from, fetched) = in_flight.fetch().unzip();
    if let Some(fetched) = fetched {
        metrics::counter!("fetches_total").increment(1);
        metrics::counter!("fetched_tokens_total").increment(u64::from(fetched));
    }
    let speed = in_flight.backend.engine().speed;
    let (now_ms, percent) = (clock::now_ms(), 100.0);
    log!(core.logger, Event::Routed,
        "request" => &call.id,
        "attempt" => attempt,
        "customer" => call.customer_name(),
        "route" => &call.route.name,
        "server" => &in_flight.backend.server.name,
        "unread" => in_flight.queued_tokens(),
        "uncached" => in_flight.prompt_tokens(),
        "fetched" => fetched.unwrap_or(0),
        "fetch_from" => fetch_from.map(|source| &*source.server.name),
        "expected_ms" => saturating_u32(in_flight.expected_ms()),
        "learned_speed" => saturating_u32(speed.learned(now_ms) * percent),
        "slowdown" => saturating_u32(speed.slowdown(now_ms) * percent),
        "view_age_ms" => core.view.age_ms(),
        "elapsed_ms" => clock::between_ms(call.received_at, Instant::now()));
}
