//! Fixture: a fleet in the test process and runs of the client.

use std::process::Output;

use mulberryyoke_model as model;
use mulberryyoke_platform::vm;
use mulberryyoke_standin::{kv, vms};
use mulberryyoked::router::Router;
use mulberryyoked::sidecar::Sidecar;
use serde_json::{Value, json};
use slog::{Discard, Logger, o};
use tokio::process::Command;

/// Address of any free local port.
const ANY_PORT: &str = "127.0.0.1:0";

/// Address that refuses connections.
pub const CLOSED_PORT: &str = "127.0.0.1:9";

/// Bearer key of the operator `noor`.
pub const NOOR_KEY: &str = "example-key-of-noor";
/// Bearer key of the operator `amal`.
pub const AMAL_KEY: &str = "example-key-of-amal";

/// Exit code and output of a run of the client.
#[derive(Debug)]
pub struct ClientOutput {
    pub code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

impl ClientOutput {
    /// Standard output as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|_| panic!("not JSON: {self:?}"))
    }
}

impl From<Output> for ClientOutput {
    fn from(output: Output) -> Self {
        let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
        Self {
            code: output.status.code(),
            stdout: text(output.stdout),
            stderr: text(output.stderr),
        }
    }
}

/// Two routers and a sidecar.
pub struct Fleet {
    pub kv: kv::Handle,
    _vms: vms::Handle,
    pub routers: Vec<Router>,
    pub sidecar: Sidecar,
}

impl Fleet {
    /// Starts the fleet without customers, pools and servers.
    pub async fn start() -> Self {
        let logger = Logger::root(Discard, o!());
        let any = ANY_PORT.parse().expect("an address");
        let kv = kv::Store::bind(any).await.expect("a free port");
        let vms = vms::List::bind(any, Vec::new()).await;
        let vms = vms.expect("a free port");
        let endpoints = [kv.address().to_string()];
        let mut routers = Vec::new();
        for name in ["entry-1", "entry-2"] {
            let settings = json!({
                "name": name, "zone": "a", "callers": ANY_PORT, "operators": ANY_PORT,
                "control": ANY_PORT,
                "kv": endpoints, "vms": vms.address().to_string(), "exchange_ms": 50,
                "operator_keys": [
                    {"name": "noor", "key": model::KeyHash::of(NOOR_KEY)},
                    {"name": "amal", "key": model::KeyHash::of(AMAL_KEY)},
                ],
            });
            let settings = serde_json::from_value(settings).expect("settings");
            let router = Router::spawn(settings, logger.clone()).await;
            routers.push(router.expect("a router starts"));
        }
        let listed = routers.iter().zip(["entry-1", "entry-2"]);
        let add = listed.map(|(router, name)| vm::Vm {
            name: name.to_owned(),
            role: vm::Role::Router,
            region: String::new(),
            zone: "a".to_owned(),
            control: router.control(),
            state: vm::State::Live,
        });
        vms.update(vms::Update {
            add: add.collect(),
            ..vms::Update::default()
        });
        let settings = json!({
            "name": "m-1", "zone": "a", "pool": "chat", "kind": "model", "slots": 4,
            "control": ANY_PORT, "data": ANY_PORT, "status": ANY_PORT, "backend": CLOSED_PORT,
            "kv": endpoints,
        });
        let settings = serde_json::from_value(settings).expect("settings");
        let sidecar = Sidecar::spawn(settings, logger).await;
        Self {
            kv,
            _vms: vms,
            routers,
            sidecar: sidecar.expect("a sidecar starts"),
        }
    }

    /// Command that adds the sidecar's server.
    pub fn add_server_command(&self) -> String {
        format!(
            "server add m-1 --pool chat --zone a --slots 4 --control {} --data {}",
            self.sidecar.control(),
            self.sidecar.data()
        )
    }

    /// Runs the client as `noor` against the first router.
    pub async fn run(&self, line: &str) -> ClientOutput {
        self.run_as(NOOR_KEY, 0, line).await
    }

    /// Runs the client as `noor` against the first router and expects it to succeed.
    pub async fn run_ok(&self, line: &str) -> ClientOutput {
        let output = self.run(line).await;
        assert_eq!(output.code, Some(0), "{line}: {output:?}");
        output
    }

    /// Runs the client with a bearer key against the router with this index.
    pub async fn run_as(&self, key: &str, router: usize, line: &str) -> ClientOutput {
        let router = self.routers[router].operators().to_string();
        run_client(&[&router], key, line).await
    }

    /// Stops the routers and the sidecar.
    pub async fn stop(self) {
        for router in self.routers {
            router.stop().await;
        }
        self.sidecar.stop().await;
    }
}

/// Runs the client against these operator ports.
pub async fn run_client(routers: &[&str], key: &str, line: &str) -> ClientOutput {
    let output = Command::new(env!("CARGO_BIN_EXE_mulberryyoke"))
        .env("MULBERRYYOKE_ROUTER", routers.join(","))
        .env("MULBERRYYOKE_KEY", key)
        .args(line.split_whitespace())
        .output()
        .await;
    output.expect("the client runs").into()
}
