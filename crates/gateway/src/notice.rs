//! What servers say of themselves with their answers.

use std::sync::atomic::Ordering;

use mulberryyoke_event::{Event, log};

use crate::backend::Backend;
use crate::core::Core;
use crate::protocol::Notice;

/// Takes in what a server says of itself with the answer to a request.
pub(crate) fn take(core: &Core, backend: &Backend, notice: Notice, request: &str) {
    if notice.is_leaving && !backend.is_leaving.swap(true, Ordering::Relaxed) {
        log!(core.logger, Event::ServerLeaves,
            "request" => request, "server" => &backend.server.name);
    }
    if let Some(rest_ms) = notice.rest_ms {
        log!(core.logger, Event::ServerRests,
            "request" => request, "server" => &backend.server.name, "rest_ms" => rest_ms);
    }
}
