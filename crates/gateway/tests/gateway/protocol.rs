//! Headers and stored values of the tests.

use hyper::HeaderMap;
use hyper::header::{AUTHORIZATION, HeaderName, HeaderValue};
use hyper::http::{request, response};
use mulberryyoke_decide::engine::{PartId, Prompt, Transfer};
use mulberryyoke_decide::server_load::{InvalidReport, Report};
use mulberryyoke_gateway::Server;
use mulberryyoke_gateway::config::{
    ColdStart, Config, Customer, Limits, Model, Pool, RequestKind, Route, Target,
};
use mulberryyoke_gateway::protocol::{
    Forwarding, Identity, Notice, ParseError, Protocol, RequestHead, ResponseHead, Verification,
};
use mulberryyoke_model::{CustomerId, PoolId, ServerId, VersionId};

/// Timeout of every route, in milliseconds, unless the configuration states it.
pub(crate) const TIMEOUT_MS: u64 = 1_500;

/// Latency objective of the other routes, in milliseconds.
pub(crate) const OBJECTIVE_MS: u64 = 200;

/// Prefix of a route for customers whose objective lets prompts wait in the gateway.
pub(crate) const WAITING_PREFIX: &str = "/waiting/";

/// Prefix of a public route with the same objective.
pub(crate) const PATIENT_PREFIX: &str = "/patient/";

/// Prefix of a route for customers whose streams callers resume, each in one attempt of a gateway.
pub(crate) const RESUMABLE_PREFIX: &str = "/customers/";

/// Latency objective of that route, in milliseconds.
const RESUMABLE_OBJECTIVE_MS: u64 = 1_000;

/// Latency objective of these two routes, in milliseconds. Prompts wait for up to an eighth of it.
pub(crate) const LONG_OBJECTIVE_MS: u64 = 4_000;

/// Length of a prompt that misses the objective if queued behind another, in tokens.
pub(crate) const LONG_PROMPT: u32 = 60_000;

/// Cold period of servers after their start, in milliseconds.
pub(crate) const COLD_MS: u64 = 1_500;

/// Requests per second that a cold server accepts, over all gateways.
pub(crate) const COLD_PER_S: f64 = 4.0;

/// Header that makes parsing of the request head panic.
pub(crate) const PANIC_HEADER: &str = "x-panics: 1\r\n";

/// Prefix of the version in a server's registration.
const VERSION_PREFIX: &str = "version=";

/// Maximum size of a request body, in bytes, unless the configuration states it.
const MAX_BODY_BYTES: usize = 1_000;

/// Length of the shared part of a prompt, in tokens.
const SHARED_TOKENS: u32 = 4_000;

/// Protocol with space-separated values: `VERSION [tokens=PER_S] [link=MBPS] [body=BYTES] [timeout=MS] KEY...`
/// for a configuration, with `CUSTOMER:KEY` for the keys of further customers, and
/// `POOL ADDRESS STATE [STARTED [COLD_MS [ZONE]]] [version=VERSION]` for a server.
#[derive(Debug)]
pub(crate) struct TestProtocol {
    /// Name of the gateway, sent to servers.
    pub(crate) gateway: String,
}

/// Load in a header `x-load: RUNNING,WAITING,SLOTS,SLOWDOWN`.
fn server_load(headers: &HeaderMap) -> Option<std::result::Result<Report, InvalidReport>> {
    let text = headers.get("x-load")?.to_str().unwrap_or_default();
    let figures: Vec<u32> = text
        .split(',')
        .filter_map(|text| text.parse().ok())
        .collect();
    let report = <[u32; 4]>::try_from(figures).map_err(|_| InvalidReport);
    Some(report.map(|[running, waiting, slots, slowdown]| {
        Report::new(running, waiting, slots, Some(slowdown))
    }))
}

/// Prompt in a header `x-parts: ID:TOKENS ...`.
fn prompt_of_parts(text: Option<&str>) -> Option<Prompt> {
    let parts = text?.split(' ').map(|part| {
        let (id, tokens) = part.split_once(':')?;
        Some((id.parse().ok()?, tokens.parse().ok()?))
    });
    let parts: Option<Vec<(u64, u32)>> = parts.collect();
    Some(Prompt::from_parts("m", parts?, 10))
}

impl Protocol for TestProtocol {
    fn parse_request(&self, head: &request::Parts) -> Result<RequestHead, ParseError> {
        let text = |name| head.headers.get(name).and_then(|value| value.to_str().ok());
        assert!(text("x-panics").is_none(), "injected panic");
        let id = text("x-id").ok_or_else(|| ParseError {
            subject: "x-id".to_owned(),
            reason: "missing".to_owned(),
        })?;
        let tokens = text("x-tokens").and_then(|tokens| tokens.parse().ok());
        let shared = text("x-shared").and_then(|part| part.parse().ok());
        let key = text("authorization").and_then(|value| value.strip_prefix("Bearer "));
        Ok(RequestHead {
            id: id.to_owned(),
            timeout_ms: text("x-patience-ms").and_then(|ms| ms.parse().ok()),
            key: key.map(str::to_owned),
            prompt: prompt_of_parts(text("x-parts")).or_else(|| {
                let shared = shared.map(|part: u64| (part, SHARED_TOKENS));
                let parts = shared.into_iter().chain([(1, tokens?)]);
                Some(Prompt::from_parts("m", parts, 10))
            }),
            resume_after: text("x-after").and_then(|event| event.parse().ok()),
            first_attempt: text("x-first-attempt").map(str::to_owned),
        })
    }

    fn rewrite_headers(&self, headers: &mut HeaderMap, forwarding: &Forwarding<'_>) {
        headers.remove(AUTHORIZATION);
        headers.insert("x-left-ms", HeaderValue::from(forwarding.remaining_ms));
        let fetch_from = forwarding.fetch_from.map(|address| address.to_string());
        for (name, text) in [
            ("x-by", Some(self.gateway.as_str())),
            ("x-server", Some(forwarding.server)),
            ("x-customer", forwarding.customer),
            ("x-fetch", fetch_from.as_deref()),
        ] {
            headers.remove(name);
            if let Some(value) = text.and_then(|text| HeaderValue::from_str(text).ok()) {
                headers.insert(name, value);
            }
        }
        if let Some(event) = forwarding.resume_after {
            headers.insert("x-after", HeaderValue::from(event));
        }
    }

    fn parse_response(&self, head: &response::Parts, id: &str) -> ResponseHead {
        let headers = &head.headers;
        let received_id = headers.get("x-id").map(HeaderValue::as_bytes);
        let verification = if received_id.is_some_and(|received_id| received_id != id.as_bytes()) {
            Verification::Mismatched
        } else if head.status.as_u16() == 421 {
            Verification::WrongServer
        } else if headers.contains_key("x-not-run") {
            Verification::NotExecuted
        } else if headers.contains_key("x-seal") {
            Verification::Sealed
        } else {
            Verification::Unverified
        };
        let pushback_ms = headers.get("x-rest-ms").and_then(|ms| ms.to_str().ok());
        ResponseHead {
            verification,
            closes_connection: false,
            keep_alive_ms: None,
            cold_left_ms: None,
            notice: Notice {
                is_leaving: headers.contains_key("x-leaving"),
                pushback_ms: pushback_ms.and_then(|ms| ms.parse().ok()),
            },
            server_load: server_load(headers),
        }
    }

    fn health_check_headers(&self, server: &str) -> HeaderMap {
        let value = HeaderValue::from_str(server).expect("a server's name is a header value");
        HeaderMap::from_iter([(HeaderName::from_static("x-server"), value)])
    }

    fn identify(&self, head: &response::Parts, id: Option<&str>, server: &str) -> Identity {
        let headers = &head.headers;
        let echoed = headers.get("x-id").map(HeaderValue::as_bytes);
        if echoed != id.map(str::as_bytes) {
            return Identity::Unknown;
        }
        match headers.get("x-instance") {
            Some(instance) if instance == server => Identity::Intended,
            Some(_) => Identity::Other,
            None if head.status.as_u16() == 421 => Identity::Other,
            None if headers.contains_key("x-not-run") => Identity::Unknown,
            None if headers.contains_key("x-seal") => Identity::Intended,
            None => Identity::Unknown,
        }
    }

    fn parse_start(&self, body: &[u8]) -> Option<u64> {
        let text = std::str::from_utf8(body).ok()?;
        text.strip_prefix("started ")?.trim().parse().ok()
    }

    fn config_key(&self) -> &'static str {
        "config"
    }

    fn servers_prefix(&self) -> &'static str {
        "servers/"
    }

    fn evacuations_prefix(&self) -> &'static str {
        "evacuate/"
    }

    fn parse_config(&self, value: &[u8]) -> Result<Config, ParseError> {
        let text = String::from_utf8_lossy(value);
        let mut fields = text.split_whitespace();
        let version = fields.next().and_then(|field| field.parse().ok());
        let version = version.ok_or_else(|| parse_error("configuration"))?;
        let (numbers, keys): (Vec<&str>, Vec<&str>) = fields.partition(|field| field.contains('='));
        let number = |prefix| numbers.iter().find_map(|field| field.strip_prefix(prefix));
        let tokens_per_s = number("tokens=");
        let link_mbps = number("link=").and_then(|mbps| mbps.parse().ok());
        let max_body_bytes = number("body=").and_then(|bytes| bytes.parse().ok());
        let timeout_ms = number("timeout=").and_then(|ms| ms.parse().ok());
        let (named, own): (Vec<&str>, Vec<&str>) =
            keys.into_iter().partition(|key| key.contains(':'));
        let mut customers = vec![customer("noor", &own)];
        customers.extend(named.iter().filter_map(|field| {
            let (name, key) = field.split_once(':')?;
            Some(customer(name, &[key]))
        }));
        let limits = Limits {
            max_head_bytes: 16_384,
            max_body_bytes: max_body_bytes.unwrap_or(MAX_BODY_BYTES),
            head_timeout_ms: 1_000,
            idle_timeout_ms: 5_000,
            tokens_per_s: tokens_per_s.and_then(|tokens| tokens.parse().ok()),
        };
        let routes = [
            ("/idempotent/", RequestKind::Idempotent, 2),
            ("/once/", RequestKind::Once, 1),
            ("/stream/", RequestKind::Stream, 1),
            ("/resumable/", RequestKind::Resumable, 2),
            ("/thrice/", RequestKind::Resumable, 3),
            ("/keyed/", RequestKind::Idempotent, 2),
            (WAITING_PREFIX, RequestKind::Stream, 1),
            (PATIENT_PREFIX, RequestKind::Stream, 1),
            (RESUMABLE_PREFIX, RequestKind::Resumable, 1),
        ];
        let routes = routes.map(|(prefix, kind, attempts)| Route {
            timeout_ms: timeout_ms.unwrap_or(TIMEOUT_MS),
            ..route(prefix, kind, attempts)
        });
        let mut pools = vec![pool("plain", None), pool("model", Some(model(link_mbps)))];
        if number("pools=") == Some("none") {
            pools.clear();
        }
        Ok(Config::new(
            version,
            limits,
            routes.into(),
            Some(customers),
            pools,
        ))
    }

    fn cached_parts_path(&self) -> Option<&'static str> {
        Some("/kept")
    }

    fn parse_cached_parts(&self, value: &[u8]) -> Result<Vec<PartId>, ParseError> {
        let text = String::from_utf8_lossy(value);
        let parts = text.split_whitespace().map(|field| {
            let part = field.parse().map_err(|_| parse_error("list"))?;
            Ok(PartId::new("m", part))
        });
        parts.collect()
    }

    fn parse_server(&self, name: &str, value: &[u8]) -> Result<Server, ParseError> {
        let text = String::from_utf8_lossy(value);
        let fields = text.split_whitespace();
        let (versions, fields): (Vec<&str>, Vec<&str>) =
            fields.partition(|field| field.starts_with(VERSION_PREFIX));
        let version = versions.first().map(|field| &field[VERSION_PREFIX.len()..]);
        let [pool, address, state, ..] = fields[..] else {
            return Err(parse_error(name));
        };
        let started = fields.get(3).copied();
        let cold = fields.get(4).copied().unwrap_or("0");
        let zone = fields.get(5).copied().unwrap_or("a");
        let started_ms = started.map(|started| started.parse().map_err(|_| parse_error(name)));
        Ok(Server {
            id: ServerId::of(&format!("{name} {}", started.unwrap_or_default())),
            name: name.to_owned(),
            pool: PoolId::of(pool),
            address: address.parse().map_err(|_| parse_error(name))?,
            zone: zone.to_owned(),
            version: VersionId::of(version.unwrap_or_default()),
            slots: 8,
            started_ms: started_ms.transpose()?,
            cold_left_ms: cold.parse().map_err(|_| parse_error(name))?,
            is_leaving: state == "leaving",
        })
    }
}

fn customer(name: &str, keys: &[&str]) -> Customer {
    Customer {
        id: CustomerId::of(name),
        name: name.to_owned(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        priority: None,
    }
}

fn parse_error(subject: &str) -> ParseError {
    ParseError {
        subject: subject.to_owned(),
        reason: "words are missing".to_owned(),
    }
}

fn route(prefix: &str, kind: RequestKind, attempts: u32) -> Route {
    let pool = if kind.is_stream() { "model" } else { "plain" };
    Route {
        name: prefix.to_owned(),
        host: "host.example".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        is_public: !["/keyed/", WAITING_PREFIX, RESUMABLE_PREFIX].contains(&prefix),
        timeout_ms: TIMEOUT_MS,
        objective_ms: match prefix {
            WAITING_PREFIX | PATIENT_PREFIX => LONG_OBJECTIVE_MS,
            RESUMABLE_PREFIX => RESUMABLE_OBJECTIVE_MS,
            _ => OBJECTIVE_MS,
        },
        max_gap_ms: kind.is_stream().then_some(100),
        max_attempts: attempts,
        priority: 1,
        targets: vec![Target {
            pool: PoolId::of(pool),
            weight: 1,
        }],
    }
}

fn pool(name: &str, model: Option<Model>) -> Pool {
    Pool {
        id: PoolId::of(name),
        name: name.to_owned(),
        health_path: "/health".to_owned(),
        max_connections: 64,
        model,
        cold: Some(ColdStart {
            duration_ms: COLD_MS,
            requests_per_s: COLD_PER_S,
        }),
    }
}

fn model(link_mbps: Option<u32>) -> Model {
    Model {
        slots: 8,
        memory_tokens: 100_000,
        transfer: link_mbps.map(|link_mbps| Transfer {
            token_bytes: 30_000,
            link_mbps,
        }),
    }
}
