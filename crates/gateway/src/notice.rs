//! Handling of the status that servers report with responses.

use std::sync::Arc;

use mulberryyoke_decide::server_load::{InvalidReport, Report};
use mulberryyoke_event::{Event, log};
use mulberryyoke_wire::aggregate::Leaving;

use crate::backend::Backend;
use crate::clock;
use crate::core::Core;
use crate::protocol::{ResponseHead, Verification};

/// Applies the status that a server reported with a response.
pub(crate) fn apply(core: &Core, backend: &Backend, response_head: ResponseHead, request: &str) {
    if let Some(reported) = response_head.verified_server_load() {
        apply_server_load(core, backend, reported, request);
    }
    let notice = response_head.verified_notice();
    if notice.is_leaving {
        apply_leaving(core, backend, request);
    }
    if let Some(pushback_ms) = notice.pushback_ms {
        apply_pushback(core, backend, pushback_ms, request);
    } else if response_head.verification == Verification::Sealed
        && backend.instance.record_response(clock::now_ms())
    {
        log!(core.logger, Event::PushbackEnded,
            "request" => request, "server" => &backend.server.name);
    }
}

/// Applies the load that a server reported.
fn apply_server_load(
    core: &Core,
    backend: &Backend,
    reported: Result<Report, InvalidReport>,
    request: &str,
) {
    let Ok(report) = reported else {
        metrics::counter!("server_loads_unreadable_total").increment(1);
        return;
    };
    let now_ms = clock::now_ms();
    backend.queue.lock().record_report(report, now_ms);
    let percent = report.slowdown_percent;
    backend.engine.lock().speed.record_slowdown(percent, now_ms);
    let Some(is_slow) = backend.instance.record_slowdown(percent) else {
        return;
    };
    metrics::counter!("server_slowdowns_total").increment(u64::from(is_slow));
    log!(core.logger, Event::ServerSlowed,
        "request" => request,
        "server" => &backend.server.name,
        "slow" => is_slow,
        "percent" => percent,
        "running" => report.running,
        "waiting" => report.waiting,
        "slots" => report.slots);
}

/// Closes a server that announced that it is leaving.
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

/// Applies announcements of leaving servers relayed by another gateway.
pub(crate) fn receive(core: &Core, leaving: &[Leaving]) {
    for announcement in leaving {
        let backend = core.registry.get_by_id(announcement.server);
        let instance = backend
            .as_ref()
            .map(|backend| Arc::clone(&backend.instance));
        if !core.registry.instances.receive(*announcement, instance) {
            continue;
        }
        metrics::counter!("servers_leaving_total", "source" => "peer").increment(1);
        log!(core.logger, Event::ServerLeaving,
            "server" => backend.map(|backend| backend.server.name.clone()),
            "source" => "peer",
            "age_ms" => announcement.age_ms);
    }
}

/// Stops requests to a server for the time that it requested.
fn apply_pushback(core: &Core, backend: &Backend, pushback_ms: u64, request: &str) {
    let now_ms = clock::now_ms();
    backend.instance.record_pushback(pushback_ms, now_ms);
    core.registry
        .instances
        .insert(backend.server.id, &backend.instance);
    metrics::counter!("servers_resting_total").increment(1);
    log!(core.logger, Event::PushbackRequested,
        "request" => request,
        "server" => &backend.server.name,
        "rest_ms" => pushback_ms,
        "wait_ms" => backend.instance.wait_ms(now_ms));
}
