//! Learning what a model server keeps when this node begins to know it. Gateways that all
//! restarted had 240,000 to 290,000 tokens of shared prompt parts read again that nine
//! servers kept (half of a day's, by the servers' own count); with the list a whole day had
//! 392,000 read again and not 566,000.

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
use tokio::time::timeout;

use self::error::Error;
use crate::backend::Backend;
use crate::core::Core;
use crate::{clock, notice};

/// Longest time that a list may take: a part that is read again meanwhile is known
/// anyway, and parts that are not used for seconds yield.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest list that is read, in bytes: 10,000 parts.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// Name of a request that the list does not answer.
const NO_REQUEST_ID: &str = "";

/// Asks a model server what it keeps, in a task of its own. Other servers are not asked.
pub(crate) fn spawn_fetch(core: &Arc<Core>, backend: &Arc<Backend>) {
    let plan = core.view.plan();
    let pool = plan
        .as_ref()
        .and_then(|plan| plan.pool(backend.server.pool));
    let is_model = pool.is_some_and(|pool| pool.model.is_some());
    // A cold server has just started and keeps nothing, and questions count in what it bears.
    let now_ms = clock::now_ms();
    let is_held = backend.cold.is_cold(now_ms) || backend.instance.wait_ms(now_ms) > 0;
    let may_ask = is_model && backend.is_open() && !is_held;
    let Some(path) = core.protocol.cached_parts_path().filter(|_| may_ask) else {
        return;
    };
    let (core, backend) = (Arc::clone(core), Arc::clone(backend));
    tokio::spawn(async move {
        // By now all servers are known that were listed together.
        if !core.registry.is_in_subset(&backend) {
            return;
        }
        let asked = timeout(FETCH_TIMEOUT, fetch(&core, &backend, path)).await;
        match asked.unwrap_or(Err(Error::Timeout)) {
            Ok(names) => {
                log!(core.logger, Event::CacheReported,
                    "server" => &backend.server.name, "parts" => names.len());
                backend.engine.lock().cache.set_reported(names);
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
    let response = conn.sender.send_request(request).await?;
    let (head, body) = response.into_parts();
    let reading = core.protocol.parse_response(&head, NO_REQUEST_ID);
    notice::apply(core, backend, reading, NO_REQUEST_ID);
    if head.status != StatusCode::OK {
        return Err(Error::Status(head.status));
    }
    let body = Limited::new(body, MAX_REPORT_BYTES).collect().await;
    let body = body.map_err(Error::Body)?.to_bytes();
    backend.release_conn(conn, reading);
    Ok(core.protocol.parse_cached_parts(&body)?)
}
