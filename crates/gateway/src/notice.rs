//! What servers say of themselves with their answers.

use mulberryyoke_event::{Event, log};

use crate::backend::Backend;
use crate::clock;
use crate::core::Core;
use crate::protocol::Notice;

/// Takes in what a server says of itself with the answer to a request.
pub(crate) fn take(core: &Core, backend: &Backend, notice: Notice, request: &str) {
    if notice.is_leaving {
        leave(core, backend, request);
    }
    if let Some(rest_ms) = notice.rest_ms {
        log!(core.logger, Event::ServerRests,
            "request" => request, "server" => &backend.server.name, "rest_ms" => rest_ms);
    }
}

/// Closes a server that says it leaves.
fn leave(core: &Core, backend: &Backend, request: &str) {
    if !backend.life.leave(clock::now_ms()) {
        return;
    }
    backend.close();
    core.roster.lives.keep(backend.server.id, &backend.life);
    metrics::counter!("servers_leaving_total").increment(1);
    log!(core.logger, Event::ServerLeaves,
        "request" => request, "server" => &backend.server.name);
}
