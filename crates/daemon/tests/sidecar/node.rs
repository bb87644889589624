//! A sidecar under test with the connections of one router.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use mulberryyoke_event::slog::{Discard, Logger, o};
use mulberryyoke_model::{Attempt, Class, CustomerId, Incarnation, Interest, Kind, Millis, Ticket};
use mulberryyoke_settings as settings;
use mulberryyoke_wire::{self as wire, Poll, PollResponse, SidecarClient, ticket};
use mulberryyoked::sidecar::Sidecar;
use tarpc::context::Context;

use crate::kv::Memory;

pub const ROUTER: Incarnation = Incarnation(7);

/// Timeout of a test's waits, in milliseconds.
const TIMEOUT_MS: Millis = 60_000;

pub fn now() -> Millis {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    Millis::try_from(elapsed.expect("after 1970").as_millis()).expect("before year 500 million")
}

pub fn settings(backend: SocketAddr, kind: Kind, slots: u32) -> settings::Sidecar {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    settings::Sidecar {
        name: "m1".to_owned(),
        region: "r".to_owned(),
        zone: "z".to_owned(),
        pool: "llama".to_owned(),
        kind,
        control: any,
        data: any,
        status: any,
        backend,
        slots,
        kv: Vec::new(),
        prefix: "/mulberryyoke/".to_owned(),
        drain_ms: TIMEOUT_MS,
        retention_ms: 600_000,
        policy: settings::Policy::Fair,
        log: settings::LogFormat::Json,
    }
}

/// A sidecar with a control link and a data client.
pub struct Node {
    pub sidecar: Sidecar,
    pub link: SidecarClient,
    http: Client<HttpConnector, Full<Bytes>>,
    data: SocketAddr,
}

impl Node {
    pub async fn spawn(settings: settings::Sidecar) -> Self {
        Self::spawn_with_kv(settings, Memory::default()).await
    }

    pub async fn spawn_with_kv(settings: settings::Sidecar, kv: Memory) -> Self {
        let logger = Logger::root(Discard, o!());
        let sidecar = Sidecar::spawn_with_kv(settings, Arc::new(kv), logger).await;
        let sidecar = sidecar.expect("sidecar starts");
        let link = wire::connect_sidecar(sidecar.control(), Arc::default())
            .await
            .expect("control port answers");
        let http = Client::builder(TokioExecutor::new())
            .http2_only(true)
            .build_http();
        let data = sidecar.data();
        Self {
            sidecar,
            link,
            http,
            data,
        }
    }

    pub async fn send(&self, ticket: &Ticket) -> Response<Incoming> {
        self.try_send(ticket).await.expect("data port answers")
    }

    pub fn try_send(
        &self,
        ticket: &Ticket,
    ) -> impl Future<Output = Result<Response<Incoming>, hyper_util::client::legacy::Error>> + use<>
    {
        let request = Request::post(format!("http://{}/v1/chat/completions?x=1", self.data))
            .header(ticket::HEADER, ticket::pack(ticket))
            .header("x-extra", "kept")
            .body(Full::from("{}"))
            .expect("valid request");
        self.http.request(request)
    }

    pub async fn declare(&self, customer: CustomerId, waiting: u16) {
        let interest = Interest {
            customer,
            waiting: [0, waiting, 0],
            cost: 10,
            since: 1,
        };
        self.link
            .declare(context(), ROUTER, true, vec![interest])
            .await
            .expect("link is up");
    }

    pub async fn poll(&self, until: Millis) -> PollResponse {
        let poll = Poll {
            origin: ROUTER,
            revision: 0,
            until,
            acknowledged: 0,
            fleet: Vec::new(),
            fleet_as_of: 0,
        };
        self.link.poll(context(), poll).await.expect("link is up")
    }

    /// Polls until grants are returned.
    pub async fn wait_grants(&self) -> Vec<mulberryyoke_model::Grant> {
        loop {
            let response = self.poll(now() + TIMEOUT_MS).await;
            if !response.grants.is_empty() {
                return response.grants;
            }
        }
    }
}

pub fn context() -> Context {
    let mut context = Context::current();
    context.deadline = std::time::Instant::now() + Duration::from_millis(TIMEOUT_MS);
    context
}

pub fn ticket(request: u64) -> Ticket {
    Ticket {
        attempt: Attempt {
            origin: ROUTER,
            request,
            number: 0,
        },
        customer: CustomerId::of("acme"),
        class: Class::Normal,
        deadline: now() + TIMEOUT_MS,
        hint: 0,
        cost: 10,
        grant: None,
        key: None,
    }
}

/// The verdict header of a response.
pub fn verdict(response: &Response<Incoming>) -> Option<&str> {
    let value = response.headers().get("verdict")?;
    value.to_str().ok()
}

/// The response body; `None` if it is truncated.
pub async fn body_text(response: Response<Incoming>) -> Option<String> {
    let body = response.into_body().collect().await.ok()?;
    String::from_utf8(body.to_bytes().to_vec()).ok()
}
