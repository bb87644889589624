//! The port of peers and operators: metrics, and the key-value service's contents.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use mulberryyoke_platform::kv::Position;
use mulberryyoke_wire::relay::{CHANGES, LIST, Relayed};

use crate::core::Core;
use crate::{clock, quarantine, ready};

/// Path of the metrics.
const METRICS: &str = "/metrics";

/// Age of the configuration from which peers are told at once to ask elsewhere, in
/// milliseconds: one call to the key-value service has failed.
const OUT_OF_TOUCH_MS: u64 = 1_800;

/// Longest time that a peer's call waits, whatever it asks, in milliseconds.
const MOST_WAIT_MS: u64 = 10_000;

/// Answers one request.
pub(crate) async fn answer(
    core: Arc<Core>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let came = clock::now_ms();
    let uri = request.uri().clone();
    let answer = match uri.path() {
        METRICS => Response::new(Full::new(Bytes::from(ready::metrics(&core)))),
        LIST => relayed(core.mirror.list(core.view.confirmed_since_ms(came))),
        quarantine::PATH => quarantine::handle_admit(&core, request).await,
        CHANGES => changes(&core, uri.query().unwrap_or(""), came).await,
        _ => status(StatusCode::NOT_FOUND),
    };
    Ok(answer)
}

async fn changes(core: &Core, query: &str, came: u64) -> Response<Full<Bytes>> {
    let (Some(revision), Some(wait_ms)) = (number(query, "after"), number(query, "wait_ms")) else {
        return status(StatusCode::BAD_REQUEST);
    };
    // A gateway of a release without eras names none: that of a service which tells none.
    let era = number(query, "era").unwrap_or(0);
    let after = Position { era, revision };
    if core.view.age_ms() > OUT_OF_TOUCH_MS {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let wait = Duration::from_millis(wait_ms.min(MOST_WAIT_MS));
    core.mirror.wait(after, wait).await;
    relayed(
        core.mirror
            .changes(after, core.view.confirmed_since_ms(came)),
    )
}

fn number(query: &str, name: &str) -> Option<u64> {
    let fields = query.split('&').filter_map(|field| field.split_once('='));
    let mut named = fields.filter(|(field, _)| *field == name);
    named.next()?.1.parse().ok()
}

fn relayed(relayed: Option<Relayed>) -> Response<Full<Bytes>> {
    match relayed {
        Some(relayed) => Response::new(Full::new(Bytes::from(relayed.encode()))),
        None => status(StatusCode::GONE),
    }
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
