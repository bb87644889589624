//! Health checks that only one server instance may answer.

use std::future::pending;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{FuturesUnordered, StreamExt};
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::http::response::Parts;
use hyper::http::uri::PathAndQuery;
use mulberryyoke_decide::survival::Mark;
use mulberryyoke_event::{Event, log};
use mulberryyoke_platform::Informational;
use tokio::time::{Instant, timeout};

use crate::backend::Backend;
use crate::clock;
use crate::connection_pool::Connection;
use crate::core::Core;
use crate::protocol::Identity;

/// Interval after which a health check is sent once more: the first may be held up on its way, or
/// the server may have no room for it.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of sends of a health check.
const MAX_SENDS: u32 = 4;

/// Maximum size of the body of a response, in bytes.
const MAX_BODY_BYTES: usize = 16 << 10;

/// Time for the body of a response, after which its connection isn't reused.
const BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// Request ID of a health check, which belongs to no request of a caller.
const NO_REQUEST_ID: &str = "";

/// What a health check shows of the server instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    /// The instance answered.
    Alive,
    /// Another instance answered.
    Replaced,
    /// No process listens.
    Refused,
    /// Nothing that tells.
    Nothing,
}

impl Reply {
    /// Label in logs and metrics.
    const fn label(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Replaced => "replaced",
            Self::Refused => "refused",
            Self::Nothing => "nothing",
        }
    }
}

/// Checks whether the instance lives, and records it. Sends the check until a reply tells, at most
/// [`MAX_SENDS`] times.
pub(super) async fn run(core: &Core, backend: &Backend) {
    let begun_at = Instant::now();
    let reply = run_until_reply(core, backend).await;
    metrics::counter!("instance_checks_total", "reply" => reply.label()).increment(1);
    log!(core.logger, Event::InstanceChecked,
        "server" => &backend.server.name,
        "reply" => reply.label(),
        "elapsed_ms" => clock::between_ms(begun_at, Instant::now()));
}

async fn run_until_reply(core: &Core, backend: &Backend) -> Reply {
    let mut sends = FuturesUnordered::new();
    for _ in 0..MAX_SENDS {
        sends.push(send(core, backend));
        let reply = async {
            while let Some(reply) = sends.next().await {
                if reply != Reply::Nothing {
                    return reply;
                }
            }
            pending().await
        };
        if let Ok(reply) = timeout(RESEND_INTERVAL, reply).await {
            return reply;
        }
    }
    Reply::Nothing
}

/// Sends a health check on a new connection, where no late response to an earlier request arrives,
/// and records what the reply proves.
async fn send(core: &Core, backend: &Backend) -> Reply {
    let sent = backend.survival.mark();
    match backend.conns.connect().await {
        Ok(conn) => match exchange(core, backend, conn).await {
            Identity::Intended => Reply::Alive,
            Identity::Other => Reply::Replaced,
            Identity::Unknown => Reply::Nothing,
        },
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            // No process listens, so that the instance has ended.
            backend.survival.record_refusal(sent);
            Reply::Refused
        }
        Err(_) => Reply::Nothing,
    }
}

/// Sends a health check on a new connection. Records what the response proves and returns which
/// instance sent it.
pub(crate) async fn exchange(core: &Core, backend: &Backend, mut conn: Connection) -> Identity {
    let Some(mut request) = build_request(core, backend) else {
        return Identity::Unknown;
    };
    let informational = Informational::count(&mut request);
    let sent = backend.survival.mark();
    let response = tokio::select! {
        response = conn.sender.send_request(request) => response,
        () = informational.exceeded() => return Identity::Unknown,
    };
    let Ok(response) = response else {
        return Identity::Unknown;
    };
    let (head, body) = response.into_parts();
    let named = core.protocol.identify(&head, None, &backend.server.name);
    if named != Identity::Intended {
        backend.survival.record_identity(sent, named);
        return named;
    }
    let Some(started_ms) = backend.server.started_ms else {
        record_alive(backend, sent);
        if read(body).await.is_some() {
            release(core, backend, conn, &head);
        }
        return Identity::Intended;
    };
    let Some(body) = read(body).await else {
        return Identity::Unknown;
    };
    let start = core.protocol.parse_start(&body);
    if start.is_some_and(|start| start != started_ms) {
        backend.survival.record_identity(sent, Identity::Other);
        return Identity::Other;
    }
    record_alive(backend, sent);
    release(core, backend, conn, &head);
    Identity::Intended
}

fn record_alive(backend: &Backend, sent: Mark) {
    backend.record_heard();
    backend.survival.record_identity(sent, Identity::Intended);
}

fn release(core: &Core, backend: &Backend, conn: Connection, head: &Parts) {
    let response_head = core.protocol.parse_response(head, NO_REQUEST_ID);
    backend.release_conn(conn, response_head);
}

/// Reads the body of a response; `None` if it is too long, too slow or broken off.
async fn read(body: Incoming) -> Option<Bytes> {
    let body = Limited::new(body, MAX_BODY_BYTES).collect();
    let body = timeout(BODY_TIMEOUT, body).await.ok()?;
    Some(body.ok()?.to_bytes())
}

/// Stores the path of the server's health check, unless it is known.
pub(crate) fn learn_path(core: &Core, backend: &Backend) {
    let known = &backend.survival.health_path;
    if known.get().is_none()
        && let Some(path) = configured_path(core, backend)
    {
        // Another request may have stored it meanwhile.
        let _ = known.set(path);
    }
}

fn configured_path(core: &Core, backend: &Backend) -> Option<PathAndQuery> {
    let config = core.view.config()?;
    config.pool(backend.server.pool)?.health_path.parse().ok()
}

/// Builds a health check of this server; `None` if it has no valid path.
fn build_request(core: &Core, backend: &Backend) -> Option<Request<Full<Bytes>>> {
    let path = configured_path(core, backend);
    let path = path.or_else(|| backend.survival.health_path.get().cloned())?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.into();
    let mut headers = core.protocol.health_check_headers(&backend.server.name);
    let address = backend.server.address.to_string();
    let host = HeaderValue::from_str(&address).expect("an address is a header value");
    headers.insert(HOST, host);
    *request.headers_mut() = headers;
    Some(request)
}
