//! Reading a caller's request: route, customer, bounds and body.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use mulberryyoke_event::{Event, log};
use rand::RngExt;
use tokio::time::Instant;

use crate::call::Call;
use crate::config::{Config, Customer, Route};
use crate::core::Core;
use crate::protocol::RequestHead;
use crate::refusal::Refusal;
use crate::{clock, header};

/// Age of the configuration beyond which it is not enough to deny a request, in
/// milliseconds: a newer one may allow it.
const DENY_MS: u64 = 2_500;

/// A request and what its head says.
pub(crate) struct Intake {
    pub(crate) ask: RequestHead,
    since: Instant,
    /// The same by the boot clock, in milliseconds.
    since_ms: u64,
    parts: Parts,
    body: Incoming,
}

impl Intake {
    /// Reads a request's head.
    pub(crate) fn open(core: &Core, request: Request<Incoming>) -> Result<Self, Refusal> {
        let since = Instant::now();
        let (parts, body) = request.into_parts();
        let ask = core.protocol.parse_request(&parts);
        let ask = ask.map_err(|error| {
            log!(core.logger, Event::Malformed, "error" => error.to_string());
            Refusal::Malformed
        })?;
        Ok(Self {
            ask,
            since,
            since_ms: clock::now_ms(),
            parts,
            body,
        })
    }

    /// Finds route and customer, then reads the body.
    pub(crate) async fn read(mut self, core: &Core) -> Result<Call, Refusal> {
        if core.view.predates_suspension() || core.view.is_superseded() {
            return Err(Refusal::NoConfiguration);
        }
        let config = core.view.config().ok_or(Refusal::NoConfiguration)?;
        let route = Arc::clone(self.route(core, &config)?);
        let customer = self.customer(core, &config, &route)?;
        let pool = route
            .select_pool(rand::rng().random())
            .ok_or(Refusal::NoServer)?;
        let patience_ms = self.ask.timeout_ms.unwrap_or(u64::MAX);
        let deadline = self
            .since_ms
            .saturating_add(patience_ms.min(route.timeout_ms));
        let body = read_body(self.body, config.limits().max_body_bytes);
        let body = tokio::select! {
            body = body => body,
            () = clock::wait_until(deadline) => Err(Refusal::BodyTimeout),
        }?;
        header::strip_hop_by_hop(&mut self.parts.headers);
        Ok(Call {
            id: self.ask.id,
            pool,
            customer,
            prompt: self.ask.prompt,
            resume_after: self.ask.resume_after,
            received_at: self.since,
            deadline_ms: deadline,
            method: self.parts.method,
            path: path(&self.parts.uri),
            headers: self.parts.headers,
            body,
            digest: OnceLock::new(),
            route,
        })
    }

    fn route<'a>(&self, core: &Core, config: &'a Config) -> Result<&'a Arc<Route>, Refusal> {
        let named = self.parts.headers.get(HOST);
        let host = match self.parts.uri.authority() {
            Some(authority) => authority.as_str(),
            None => named.and_then(|host| host.to_str().ok()).unwrap_or(""),
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
        let key = self.ask.key.as_deref();
        let customer = key.and_then(|key| config.customer(key));
        match customer {
            Some(customer) => Ok(Some(Arc::clone(customer))),
            None => Err(deny(core, Refusal::UnknownCustomer)),
        }
    }
}

/// The refusal of what the configuration does not allow, or, when that is old,
/// of what a newer one may allow.
fn deny(core: &Core, refusal: Refusal) -> Refusal {
    if core.view.age_ms() > DENY_MS {
        return Refusal::NoConfiguration;
    }
    refusal
}

fn path(uri: &hyper::Uri) -> PathAndQuery {
    let path = uri.path_and_query().cloned();
    path.unwrap_or_else(|| PathAndQuery::from_static("/"))
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(Refusal::BodyTooLarge),
        Err(_) => Err(Refusal::BodyTruncated),
    }
}
