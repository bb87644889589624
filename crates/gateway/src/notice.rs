//! What servers say of themselves with their answers.

use std::sync::Arc;

use mulberryyoke_event::{Event, log};
use mulberryyoke_wire::aggregate::Leaving;

use crate::backend::Backend;
use crate::clock;
use crate::core::Core;
use crate::protocol::{ResponseHead, Verification};

/// Takes in what a server says of itself with the answer to a request.
pub(crate) fn apply(core: &Core, backend: &Backend, reading: ResponseHead, request: &str) {
    let notice = reading.verified_notice();
    if notice.is_leaving {
        apply_leaving(core, backend, request);
    }
    if let Some(rest_ms) = notice.pushback_ms {
        apply_pushback(core, backend, rest_ms, request);
    } else if reading.verification == Verification::Sealed
        && backend.instance.record_response(clock::now_ms())
    {
        log!(core.logger, Event::PushbackEnded,
            "request" => request, "server" => &backend.server.name);
    }
}

/// Closes a server that says it leaves.
fn apply_leaving(core: &Core, backend: &Backend, request: &str) {
    if !backend.instance.record_announcement(clock::now_ms()) {
        return;
    }
    backend.close();
    core.registry
        .instances
        .insert(backend.server.id, &backend.instance);
    metrics::counter!("servers_leaving_total", "source" => "answer").increment(1);
    log!(core.logger, Event::ServerLeaving,
        "request" => request, "server" => &backend.server.name, "source" => "answer");
}

/// Takes in which servers told other gateways that they leave.
pub(crate) fn receive(core: &Core, leaving: &[Leaving]) {
    for told in leaving {
        let backend = core.registry.get_by_id(told.server);
        let life = backend
            .as_ref()
            .map(|backend| Arc::clone(&backend.instance));
        if !core.registry.instances.receive(*told, life) {
            continue;
        }
        metrics::counter!("servers_leaving_total", "source" => "peer").increment(1);
        log!(core.logger, Event::ServerLeaving,
            "server" => backend.map(|backend| backend.server.name.clone()),
            "source" => "peer",
            "age_ms" => told.age_ms);
    }
}

/// Sends a server nothing for as long as it asks.
fn apply_pushback(core: &Core, backend: &Backend, rest_ms: u64, request: &str) {
    let now_ms = clock::now_ms();
    backend.instance.record_pushback(rest_ms, now_ms);
    core.registry
        .instances
        .insert(backend.server.id, &backend.instance);
    metrics::counter!("servers_resting_total").increment(1);
    log!(core.logger, Event::PushbackRequested,
        "request" => request,
        "server" => &backend.server.name,
        "rest_ms" => rest_ms,
        "wait_ms" => backend.instance.wait_ms(now_ms));
}
