//! Receiving a caller's request: route, customer, limits and body.

use std::str::FromStr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::BytesMut;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::Request;
use hyper::body::{Body, Incoming};
use hyper::header::{EXPECT, HOST};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use mulberryyoke_decide::buffer::RETRY_AFTER_MS;
use mulberryyoke_decide::pushback;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::StreamId;
use rand::RngExt;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::buffers::{Account, RequestHold};
use crate::call::Call;
use crate::config::{Config, Customer, Route};
use crate::core::Core;
use crate::protocol::RequestHead;
use crate::refusal::Refusal;
use crate::request_body::RequestBody;
use crate::{clock, header};

/// Configuration age above which a request is not denied on its basis, in milliseconds: a newer
/// configuration may allow the request.
const MAX_DENY_AGE_MS: u64 = 2_500;

/// Time for which the body of a refused request is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);

/// A request whose head has been parsed and whose body has not been read.
pub(crate) struct Inbound {
    pub(crate) head: RequestHead,
    received_at: Instant,
    /// The same time on the boot clock, in milliseconds.
    received_ms: u64,
    parts: Parts,
    body: Incoming,
    /// Closes the caller's connection when notified.
    connection: Arc<Notify>,
}

impl Inbound {
    /// Parses a request's head.
    pub(crate) fn parse(
        core: &Core,
        request: Request<Incoming>,
        connection: Arc<Notify>,
    ) -> Result<Self, Refusal> {
        let received_at = Instant::now();
        let (parts, body) = request.into_parts();
        let head = core.protocol.parse_request(&parts);
        let head = head.map_err(|error| {
            log!(core.logger, Event::Malformed, "error" => error.to_string());
            Refusal::Malformed
        })?;
        Ok(Self {
            head,
            received_at,
            received_ms: clock::now_ms(),
            parts,
            body,
            connection,
        })
    }

    /// Determines route and customer, then reads the body.
    pub(crate) async fn into_call(self, core: &Core) -> Result<Call, Refusal> {
        if core.view.predates_suspension() || core.view.is_superseded() {
            return Err(Refusal::NoConfiguration);
        }
        let config = core.view.config().ok_or(Refusal::NoConfiguration)?;
        let route = Arc::clone(self.route(core, &config)?);
        let customer = self.customer(core, &config, &route)?;
        let pool = route
            .select_pool(rand::rng().random())
            .ok_or(Refusal::NO_SERVER)?;
        let timeout_ms = self.head.timeout_ms.unwrap_or(u64::MAX);
        let deadline_ms = self
            .received_ms
            .saturating_add(timeout_ms.min(route.timeout_ms));
        let payer = customer
            .as_ref()
            .map(|customer| (customer.id, &*customer.name));
        let max_bytes = config.limits().max_body_bytes;
        let bytes = self.body.size_hint().exact().unwrap_or(1);
        let body = Limited::new(self.body, max_bytes);
        // A body above the limit is refused for its length, which no retry changes.
        let is_too_large = bytes > max_bytes as u64;
        let has_room = !core.memory.is_critical()
            && core.buffers.admits_request(payer.map(|(id, _)| id), bytes);
        if !is_too_large && !has_room {
            // A caller that asks first has not sent its body.
            if !self.parts.headers.contains_key(EXPECT) {
                discard(body).await;
            }
            return Err(memory_short());
        }
        let Parts {
            method,
            uri,
            mut headers,
            ..
        } = self.parts;
        let path = path(&uri);
        // Nothing else keeps the read buffer of the head, which the body is read into next.
        drop(uri);
        // A body may arrive slowly, and newer configurations meanwhile.
        drop(config);
        header::strip_hop_by_hop(&mut headers);
        header::compact(&mut headers);
        let account = core.buffers.open(&self.head.id, payer, &self.connection);
        let body = read_body(body, account.as_ref());
        let body = tokio::select! {
            body = body => body,
            () = clock::wait_until(deadline_ms) => Err(Refusal::BodyTimeout),
        }?;
        let customer_name = customer.as_ref().map_or("", |customer| &customer.name);
        let first_attempt = self.head.first_attempt.as_deref();
        let resumed_stream = first_attempt.map(|first| StreamId::of(customer_name, first));
        Ok(Call {
            id: self.head.id,
            pool,
            resumed_stream,
            origin: OnceLock::new(),
            customer,
            prompt: self.head.prompt,
            resume_after: self.head.resume_after,
            received_at: self.received_at,
            deadline_ms,
            method,
            path,
            headers,
            body,
            account,
            digest: OnceLock::new(),
            is_sent: AtomicBool::new(false),
            is_start_recorded: AtomicBool::new(false),
            route,
        })
    }

    fn route<'a>(&self, core: &Core, config: &'a Config) -> Result<&'a Arc<Route>, Refusal> {
        let host_header = self.parts.headers.get(HOST);
        let host = match self.parts.uri.authority() {
            Some(authority) => authority.as_str(),
            None => host_header
                .and_then(|host| host.to_str().ok())
                .unwrap_or(""),
        };
        let route = config.route(host, self.parts.uri.path());
        route.ok_or_else(|| deny(core, Refusal::NoRoute))
    }

    fn customer(
        &self,
        core: &Core,
        config: &Config,
        route: &Route,
    ) -> Result<Option<Arc<Customer>>, Refusal> {
        if !config.has_customers() || route.is_public {
            return Ok(None);
        }
        let fresh_ms = core.settings.load().keys_fresh_ms;
        if fresh_ms.is_some_and(|fresh_ms| core.view.age_ms() >= fresh_ms) {
            return Err(Refusal::NoConfiguration);
        }
        let key = self.head.key.as_deref();
        let customer = key.and_then(|key| config.customer(key));
        match customer {
            Some(customer) => Ok(Some(Arc::clone(customer))),
            None => Err(deny(core, Refusal::UnknownCustomer)),
        }
    }
}

/// Returns `refusal`, or [`Refusal::NoConfiguration`] if the configuration is too old to deny requests.
fn deny(core: &Core, refusal: Refusal) -> Refusal {
    if core.view.age_ms() > MAX_DENY_AGE_MS {
        return Refusal::NoConfiguration;
    }
    refusal
}

fn path(uri: &hyper::Uri) -> PathAndQuery {
    let path = uri.path_and_query().map(PathAndQuery::as_str);
    // A copy, since the original is a part of the connection's read buffer.
    let path = path.and_then(|path| PathAndQuery::from_str(path).ok());
    path.unwrap_or_else(|| PathAndQuery::from_static("/"))
}

/// Reads a request body, which counts as it arrives.
async fn read_body(
    mut body: Limited<Incoming>,
    account: Option<&Arc<Account>>,
) -> Result<RequestBody, Refusal> {
    let length = body.size_hint().exact();
    let length = length.and_then(|length| usize::try_from(length).ok());
    let mut hold = account.map(RequestHold::new);
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            if error.is::<LengthLimitError>() {
                Refusal::BodyTooLarge
            } else {
                Refusal::BodyTruncated
            }
        })?;
        let data = frame.into_data().unwrap_or_default();
        if let Some(hold) = &mut hold
            && !hold.try_add(data.len())
        {
            drop((data, buffer));
            discard(body).await;
            return Err(memory_short());
        }
        // Reserves the rest once, since growth by doubling would take up to twice the length.
        buffer.reserve(length.unwrap_or(0).saturating_sub(buffer.len()));
        buffer.extend_from_slice(&data);
    }
    Ok(RequestBody::new(buffer.freeze(), hold))
}

/// Reads and discards what is left of a refused request's body for a short time. Otherwise the
/// connection would be reset, and a caller that is still sending would not get the response.
async fn discard(mut body: Limited<Incoming>) {
    let rest = async { while let Some(Ok(_)) = body.frame().await {} };
    // A caller that takes longer gets the response at once.
    let _ = timeout(DISCARD_TIMEOUT, rest).await;
}

/// The refusal of a request for whose body there is no room.
fn memory_short() -> Refusal {
    Refusal::MemoryShort(pushback::retry_after_ms(
        RETRY_AFTER_MS,
        rand::rng().random(),
    ))
}
