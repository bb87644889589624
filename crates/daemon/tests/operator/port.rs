//! A running port and its client.

use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use mulberryyoke_command as command;
use mulberryyoke_command::answer::{Answer, Node, Refusal, Reply, Role, Tally, Waiting, Written};
use mulberryyoke_model::{Attempt, Config, KeyHash, Outcome};
use mulberryyoke_settings as settings;
use mulberryyoked::operator::{Api, Options, RouterState};
use parking_lot::Mutex;
use slog::{Discard, Logger, o};
use tokio::net::TcpStream;

use crate::kv::Memory;

/// The key of operator `noor`.
pub const KEY: &str = "the-key-of-noor-1";

/// The router behind the port.
#[derive(Default)]
pub struct Router {
    pub config: Mutex<Config>,
}

impl RouterState for Router {
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

    fn tally(&self) -> Tally {
        Tally::default()
    }

    fn waiting(&self, _query: &command::Waiting) -> Waiting {
        Waiting::default()
    }

    fn outcome(&self, _attempt: Attempt) -> Pin<Box<dyn Future<Output = Outcome> + Send + '_>> {
        Box::pin(std::future::ready(Outcome::Ran))
    }
}

/// A running port.
pub struct Port {
    pub kv: Arc<Memory>,
    pub router: Arc<Router>,
    pub operator: Api,
}

impl Port {
    /// Opens a port on an empty service.
    pub async fn open() -> Self {
        let kv = Arc::new(Memory::default());
        let router = Arc::new(Router::default());
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
        let operator = Api::bind(options).await.expect("a free port is bound");
        Self {
            kv,
            router,
            operator,
        }
    }

    /// Sends any request.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> (StatusCode, Bytes) {
        let stream = TcpStream::connect(self.operator.address()).await;
        let stream = TokioIo::new(stream.expect("the port is open"));
        let (mut sender, connection) = http1::handshake(stream).await.expect("it speaks HTTP");
        tokio::spawn(connection);
        let response = sender.send_request(request).await.expect("it answers");
        let status = response.status();
        let body = response.into_body().collect().await;
        (status, body.expect("the answer is whole").to_bytes())
    }

    /// Gets a path.
    pub async fn get(&self, path: &str) -> (StatusCode, Bytes) {
        let request = Request::get(path).header("host", "operators");
        let request = request.body(Full::default()).expect("it is a request");
        self.send(request).await
    }

    /// Sends a command with a key.
    pub async fn ask(&self, key: &str, body: String) -> (StatusCode, Reply) {
        let request = Request::post("/v1/command")
            .header("host", "operators")
            .header("authorization", format!("Bearer {key}"))
            .body(Full::from(body))
            .expect("it is a request");
        let (status, body) = self.send(request).await;
        let reply = serde_json::from_slice(&body).expect("the answer is a reply");
        (status, reply)
    }

    /// Sends a command under an identity.
    pub async fn run(&self, command: u64, line: &str) -> Result<Answer, Refusal> {
        let words: Vec<&str> = line.split(' ').collect();
        let body = serde_json::json!({ "words": words, "command": command });
        let (status, reply) = self.ask(KEY, body.to_string()).await;
        assert_eq!(status.is_success(), reply.ok);
        match (reply.answer, reply.error) {
            (Some(answer), None) => Ok(answer),
            (None, Some(refusal)) => {
                assert_eq!(status.as_u16(), refusal.code.status());
                Err(refusal)
            }
            other => panic!("neither answer nor error: {other:?}"),
        }
    }

    /// Sends a change under an identity.
    pub async fn change(&self, command: u64, line: &str) -> Result<Written, Refusal> {
        match self.run(command, line).await? {
            Answer::Written(written) => Ok(written),
            other => panic!("not a change: {other:?}"),
        }
    }
}
