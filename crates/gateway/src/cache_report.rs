//! Fetches the list of cached prompt parts from model servers. Without it, a restarted gateway
//! would route prompts away from the servers that have them cached.

mod error;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HOST, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{Request, StatusCode};
use mulberryyoke_decide::engine::PartId;
use mulberryyoke_event::{Event, log};
use mulberryyoke_platform::Informational;
use tokio::time::timeout;

use self::error::Error;
use crate::backend::Backend;
use crate::core::Core;
use crate::{clock, notice};

/// Timeout of a fetch. A later list would be out of date.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a list, in bytes. Enough for 10,000 parts.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// Request ID of a fetch, which belongs to no request of a caller.
const NO_REQUEST_ID: &str = "";

/// Fetches the list of a model server in the background. Does nothing for other servers.
pub(crate) fn spawn_fetch(core: &Arc<Core>, backend: &Arc<Backend>) {
    let config = core.view.config();
    let pool = config
        .as_ref()
        .and_then(|config| config.pool(backend.server.pool));
    let is_model = pool.is_some_and(|pool| pool.model.is_some());
    // A cold server has an empty cache, and a fetch would count against its request limit.
    let now_ms = clock::now_ms();
    let is_limited = backend.cold.is_cold(now_ms) || backend.instance.wait_ms(now_ms) > 0;
    let can_fetch = is_model && backend.is_open() && !is_limited;
    let Some(path) = core.protocol.cached_parts_path().filter(|_| can_fetch) else {
        return;
    };
    let (core, backend) = (Arc::clone(core), Arc::clone(backend));
    tokio::spawn(async move {
        // The servers of the same batch are registered by now, so that the subset is final.
        if !core.registry.is_in_subset(&backend) {
            return;
        }
        let fetched = timeout(FETCH_TIMEOUT, fetch(&core, &backend, path)).await;
        match fetched.unwrap_or(Err(Error::Timeout)) {
            Ok(parts) => {
                log!(core.logger, Event::CacheReported,
                    "server" => &backend.server.name, "parts" => parts.len());
                backend.engine.lock().cache.set_reported(parts);
            }
            Err(error) => {
                log!(core.logger, Event::CacheReportFailed,
                    "server" => &backend.server.name, "error" => error.to_string());
            }
        }
    });
}

async fn fetch(core: &Core, backend: &Backend, path: &'static str) -> Result<Vec<PartId>, Error> {
    let mut conn = backend.conns.acquire().await?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = PathAndQuery::from_static(path).into();
    let address = backend.server.address.to_string();
    let host = HeaderValue::from_str(&address).expect("an address is a header value");
    request.headers_mut().insert(HOST, host);
    let informational = Informational::count(&mut request);
    let response = tokio::select! {
        response = conn.sender.send_request(request) => response?,
        () = informational.exceeded() => return Err(Error::Informational),
    };
    let (head, body) = response.into_parts();
    let response_head = core.protocol.parse_response(&head, NO_REQUEST_ID);
    notice::apply(core, backend, response_head, NO_REQUEST_ID);
    if head.status != StatusCode::OK {
        return Err(Error::Status(head.status));
    }
    let body = Limited::new(body, MAX_REPORT_BYTES).collect().await;
    let body = body.map_err(Error::Body)?.to_bytes();
    backend.release_conn(conn, response_head);
    Ok(core.protocol.parse_cached_parts(&body)?)
}
