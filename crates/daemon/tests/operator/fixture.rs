//! Test fixture of the operator API.

use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use mulberryyoke_command as command;
use mulberryyoke_command::api::{
    CommandError, Counts, Node, Output, Response, Role, WaitingList, WriteResult,
};
use mulberryyoke_model::{Attempt, Config, KeyHash, Outcome};
use mulberryyoke_settings as settings;
use mulberryyoked::operator::{Api, Options, RouterState};
use parking_lot::Mutex;
use slog::{Discard, Logger, o};
use tokio::net::TcpStream;

use crate::kv::Memory;

/// Bearer key of operator `noor`.
pub const KEY: &str = "the-key-of-noor-1";

/// Stub of the router behind the API.
#[derive(Default)]
pub struct StubRouter {
    pub config: Mutex<Config>,
}

impl RouterState for StubRouter {
    fn name(&self) -> &'static str {
        "entry-1"
    }

    fn is_ready(&self) -> bool {
        self.config.lock().revision > 0
    }

    fn is_kv_up(&self) -> bool {
        true
    }

    fn config(&self) -> Arc<Config> {
        Arc::new(self.config.lock().clone())
    }

    fn nodes(&self) -> Vec<Node> {
        let node = |role, name: &str, revision| Node {
            role,
            name: name.to_owned(),
            zone: "a".to_owned(),
            up: true,
            leaving: false,
            revision,
            pool: None,
            slots: None,
            free: None,
            started_at: None,
        };
        vec![
            node(Role::Sidecar, "m-1", Some(4)),
            node(Role::Router, "entry-2", None),
            node(Role::Router, "entry-1", Some(5)),
        ]
    }

    fn unseen(&self) -> usize {
        0
    }

    fn control_bytes(&self) -> (u64, u64) {
        (11, 12)
    }

    fn tally(&self) -> Counts {
        Counts::default()
    }

    fn waiting(&self, _query: &command::Waiting) -> WaitingList {
        WaitingList::default()
    }

    fn outcome(&self, _attempt: Attempt) -> Pin<Box<dyn Future<Output = Outcome> + Send + '_>> {
        Box::pin(std::future::ready(Outcome::Ran))
    }
}

/// Operator API on an in-memory key-value service, with an HTTP client.
pub struct Fixture {
    pub kv: Arc<Memory>,
    pub router: Arc<StubRouter>,
    pub api: Api,
}

impl Fixture {
    /// Starts the API on an empty key-value service.
    pub async fn open() -> Self {
        let kv = Arc::new(Memory::default());
        let router = Arc::new(StubRouter::default());
        let options = Options {
            address: ([127, 0, 0, 1], 0).into(),
            operators: vec![settings::Operator {
                name: "noor".to_owned(),
                key: KeyHash::of(KEY),
            }],
            prefix: "/test/".to_owned(),
            retention_ms: 600_000,
            kv: kv.clone(),
            router: router.clone(),
            logger: Logger::root(Discard, o!()),
        };
        let api = Api::bind(options).await.expect("API starts on a free port");
        Self { kv, router, api }
    }

    pub async fn send_request(&self, request: Request<Full<Bytes>>) -> (StatusCode, Bytes) {
        let stream = TcpStream::connect(self.api.address()).await;
        let stream = TokioIo::new(stream.expect("API accepts connections"));
        let (mut sender, connection) = http1::handshake(stream)
            .await
            .expect("HTTP handshake succeeds");
        tokio::spawn(connection);
        let response = sender.send_request(request).await.expect("API responds");
        let status = response.status();
        let body = response.into_body().collect().await;
        (status, body.expect("response body is complete").to_bytes())
    }

    pub async fn get(&self, path: &str) -> (StatusCode, Bytes) {
        let request = Request::get(path).header("host", "operators");
        let request = request.body(Full::default()).expect("request is valid");
        self.send_request(request).await
    }

    /// Sends a command body with a bearer key.
    pub async fn send_command(&self, key: &str, body: String) -> (StatusCode, Response) {
        let request = Request::post("/v1/command")
            .header("host", "operators")
            .header("authorization", format!("Bearer {key}"))
            .body(Full::from(body))
            .expect("request is valid");
        let (status, body) = self.send_request(request).await;
        let response = serde_json::from_slice(&body).expect("response body is JSON");
        (status, response)
    }

    /// Runs a command line under a command ID.
    pub async fn run(&self, command: u64, line: &str) -> Result<Output, CommandError> {
        let words: Vec<&str> = line.split(' ').collect();
        let body = serde_json::json!({ "words": words, "command": command });
        let (status, response) = self.send_command(KEY, body.to_string()).await;
        assert_eq!(status.is_success(), response.ok);
        match (response.answer, response.error) {
            (Some(answer), None) => Ok(answer),
            (None, Some(error)) => {
                assert_eq!(status.as_u16(), error.code.http_status());
                Err(error)
            }
            other => panic!("neither answer nor error: {other:?}"),
        }
    }

    /// Runs a command line that must be a change.
    pub async fn change(&self, command: u64, line: &str) -> Result<WriteResult, CommandError> {
        match self.run(command, line).await? {
            Output::Written(written) => Ok(written),
            other => panic!("not a change: {other:?}"),
        }
    }
}
