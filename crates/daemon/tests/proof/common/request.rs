//! Requests of callers and their responses.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use mulberryyoke_decide::home;
use mulberryyoke_model::{CustomerId, KeyId, Server, ServerId, State};
use mulberryyoke_standin::fleet::OperationKind;
use mulberryyoke_standin::fleet::call::{CallOutcome, classify_body};
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::setup::bearer_key;

/// A request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    customer: &'static str,
    /// Operation ID that the backend records, `CUSTOMER/NAME`.
    pub(crate) op: String,
    work: OperationKind,
    headers: Vec<(&'static str, String)>,
}

/// Response as received by a caller.
#[derive(Clone, Debug)]
pub(crate) struct Response {
    /// HTTP status; 0 if no response head was received.
    pub(crate) status: u16,
    /// Value of the `x-outcome` header.
    pub(crate) outcome: String,
    /// Error code in the body.
    pub(crate) code: String,
    /// Value of the `x-request-id` header.
    pub(crate) id: String,
    /// Value of the `retry-after` header, in seconds.
    pub(crate) retry_after: Option<u64>,
    /// Body, or the reason why it is incomplete.
    pub(crate) body: Result<String, String>,
    /// Outcome of the call as the caller sees it.
    pub(crate) call_outcome: CallOutcome,
}

impl Request {
    /// Streamed chat completion of `tokens` tokens.
    pub(crate) fn chat(name: &str, tokens: u32) -> Self {
        let streamed = true;
        Self::new(name, OperationKind::Chat { tokens, streamed })
    }

    /// Call of the service, which is not idempotent.
    pub(crate) fn booking(name: &str) -> Self {
        Self::new(name, OperationKind::Booking)
    }

    /// Call with an idempotency key whose home in `pool` is `home`.
    pub(crate) fn booking_at(pool: &[&str], home: &str, number: u64) -> Self {
        let names = (0..).map(|suffix| format!("{number}-{suffix}"));
        let mut requests = names.map(|name| Self::booking(&name).with_key());
        let is_home = |request: &Self| {
            let key = KeyId::of(CustomerId::of(request.customer), &request.op);
            home_of(pool, key) == ServerId::of(home)
        };
        requests.find(is_home).unwrap()
    }

    fn new(name: &str, work: OperationKind) -> Self {
        Self {
            customer: "scouts",
            op: format!("scouts/{name}"),
            work,
            headers: Vec::new(),
        }
    }

    /// Sets a customer other than the default one.
    pub(crate) fn for_customer(mut self, customer: &'static str) -> Self {
        self.op = self.op.replace(self.customer, customer);
        self.customer = customer;
        self
    }

    /// Sets the operation ID as `Idempotency-Key`.
    pub(crate) fn with_key(self) -> Self {
        let key = self.op.clone();
        self.with_header("idempotency-key", key)
    }

    pub(crate) fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    fn to_http(&self) -> hyper::Request<Full<Bytes>> {
        let op = &self.op;
        let (path, body) = match self.work {
            OperationKind::Booking => ("/bookings", json!({"op": op})),
            OperationKind::Chat { tokens, streamed } => {
                let body = json!({
                    "model": "assistant",
                    "stream": streamed,
                    "messages": [{"role": "user", "content": format!("Please answer {op}.")}],
                    "standin": {"op": op, "tokens": tokens},
                });
                ("/v1/chat/completions", body)
            }
        };
        let mut request = hyper::Request::post(path).header("host", "router").header(
            "authorization",
            format!("Bearer {}", bearer_key(self.customer)),
        );
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        request.body(Full::from(body.to_string())).unwrap()
    }

    /// Sends the request to a router on a new connection and reads the response.
    pub(crate) async fn send(&self, router: SocketAddr) -> Response {
        match self.open(router).await {
            Ok(response) => self.read(response).await,
            Err(response) => response,
        }
    }

    /// Sends the request in a new task.
    pub(crate) fn spawn(&self, router: SocketAddr) -> JoinHandle<Response> {
        let request = self.clone();
        tokio::spawn(async move { request.send(router).await })
    }

    /// Sends the request and reads the head of the response.
    pub(crate) async fn open(
        &self,
        router: SocketAddr,
    ) -> Result<hyper::Response<Incoming>, Response> {
        let stream = TcpStream::connect(router).await;
        let stream =
            stream.map_err(|error| Response::missing(CallOutcome::NotRun, &error.to_string()))?;
        stream.set_nodelay(true).unwrap();
        let disconnected =
            |error: hyper::Error| Response::missing(CallOutcome::Unknown, &error.to_string());
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(disconnected)?;
        tokio::spawn(connection);
        sender
            .send_request(self.to_http())
            .await
            .map_err(disconnected)
    }

    async fn read(&self, response: hyper::Response<Incoming>) -> Response {
        let (parts, body) = response.into_parts();
        let text = match body.collect().await {
            Ok(body) => Ok(String::from_utf8(body.to_bytes().to_vec()).unwrap()),
            Err(error) => Err(error.to_string()),
        };
        let header = |name| {
            let value = parts.headers.get(name);
            value.map_or("", |value| value.to_str().unwrap())
        };
        let error: Value = text.as_ref().map_or(Value::Null, |text| {
            serde_json::from_str(text).unwrap_or_default()
        });
        let mut response = Response {
            status: parts.status.as_u16(),
            outcome: header("x-outcome").to_owned(),
            code: error["error"]["code"]
                .as_str()
                .unwrap_or_default()
                .to_owned(),
            id: header("x-request-id").to_owned(),
            retry_after: header("retry-after").parse().ok(),
            body: text,
            call_outcome: CallOutcome::Unknown,
        };
        response.call_outcome = self.classify(&response);
        response
    }

    /// Compares a complete body with the expected one.
    pub(crate) fn classify_body(&self, body: &str) -> CallOutcome {
        classify_body(body.as_bytes(), &self.op, self.work)
    }

    fn classify(&self, response: &Response) -> CallOutcome {
        match (&response.body, response.status, response.outcome.as_str()) {
            (Ok(text), 200, _) => self.classify_body(text),
            (_, _, "not-run") => CallOutcome::NotRun,
            (_, _, "ran") => CallOutcome::Ran,
            _ => CallOutcome::Unknown,
        }
    }
}

impl Response {
    fn missing(call_outcome: CallOutcome, reason: &str) -> Self {
        Self {
            status: 0,
            outcome: String::new(),
            code: String::new(),
            id: String::new(),
            retry_after: None,
            body: Err(reason.to_owned()),
            call_outcome,
        }
    }

    /// Status, error code and outcome.
    pub(crate) fn refusal(&self) -> (u16, &str, &str) {
        (self.status, &self.code, &self.outcome)
    }
}

/// Home server of a key in a pool that has not changed within the retention time.
fn home_of(pool: &[&str], key: KeyId) -> ServerId {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let servers = pool.iter().map(|name| {
        Arc::new(Server {
            name: (*name).to_owned(),
            pool: String::new(),
            region: String::new(),
            zone: String::new(),
            control: address,
            data: address,
            slots: 1,
            state: State::Active,
            added_at: 0,
            changed_at: 0,
        })
    });
    let servers: Vec<Arc<Server>> = servers.collect();
    home::find(&servers, key, 1, 1).current.unwrap()
}

/// Outcome of a request as reported by a router.
pub(crate) async fn fetch_outcome(router: SocketAddr, id: &str) -> String {
    let (_, body) = get(router, &format!("/v1/outcomes/{id}")).await.unwrap();
    let response: Value = serde_json::from_slice(&body).unwrap();
    response["outcome"].as_str().unwrap_or_default().to_owned()
}

/// Status and body of a GET request, if it succeeds.
pub(crate) async fn get(address: SocketAddr, path: &str) -> Option<(u16, Bytes)> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let request = hyper::Request::get(path)
        .header("host", "router")
        .header("authorization", format!("Bearer {}", bearer_key("scouts")))
        .body(Full::new(Bytes::new()))
        .unwrap();
    let response = sender.send_request(request).await.ok()?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?;
    Some((status, body.to_bytes()))
}
