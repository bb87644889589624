//! A small fleet in this process, and the client's process.

use std::process::Output;

use mulberryyoke_model as model;
use mulberryyoke_platform::vm;
use mulberryyoke_standin::{kv, vms};
use mulberryyoked::router::Router;
use mulberryyoked::sidecar::Sidecar;
use serde_json::{Value, json};
use slog::{Discard, Logger, o};
use tokio::process::Command;

/// Any free port.
const ANY: &str = "127.0.0.1:0";

/// A port on which nothing listens.
const DEAD: &str = "127.0.0.1:9";

/// The keys of the operators `noor` and `amal`.
pub const NOOR: &str = "example-key-of-noor";
pub const AMAL: &str = "example-key-of-amal";

/// What a run of the client said.
#[derive(Debug)]
pub struct Said {
    pub code: Option<i32>,
    pub out: String,
    pub err: String,
}

impl Said {
    /// Standard output as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|_| panic!("not JSON: {self:?}"))
    }
}

impl From<Output> for Said {
    fn from(output: Output) -> Self {
        let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
        Self {
            code: output.status.code(),
            out: text(output.stdout),
            err: text(output.stderr),
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
    /// Starts the fleet; nothing is configured yet.
    pub async fn open() -> Self {
        let logger = Logger::root(Discard, o!());
        let any = ANY.parse().expect("an address");
        let kv = kv::Store::bind(any).await.expect("a free port");
        let vms = vms::List::bind(any, Vec::new()).await;
        let vms = vms.expect("a free port");
        let endpoints = [kv.address().to_string()];
        let mut routers = Vec::new();
        for name in ["entry-1", "entry-2"] {
            let settings = json!({
                "name": name, "zone": "a", "callers": ANY, "operators": ANY, "control": ANY,
                "kv": endpoints, "vms": vms.address().to_string(), "exchange_ms": 50,
                "operator_keys": [
                    {"name": "noor", "key": model::KeyHash::of(NOOR)},
                    {"name": "amal", "key": model::KeyHash::of(AMAL)},
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
            "control": ANY, "data": ANY, "status": ANY, "backend": DEAD, "kv": endpoints,
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

    /// Words that add the sidecar's server.
    pub fn add_server(&self) -> String {
        format!(
            "server add m-1 --pool chat --zone a --slots 4 --control {} --data {}",
            self.sidecar.control(),
            self.sidecar.data()
        )
    }

    /// Runs the client as `noor` against the first router.
    pub async fn run(&self, line: &str) -> Said {
        self.run_as(NOOR, 0, line).await
    }

    /// Runs the client and expects it to succeed.
    pub async fn done(&self, line: &str) -> Said {
        let said = self.run(line).await;
        assert_eq!(said.code, Some(0), "{line}: {said:?}");
        said
    }

    /// Runs the client with a key against one of the routers.
    pub async fn run_as(&self, key: &str, router: usize, line: &str) -> Said {
        let router = self.routers[router].operators().to_string();
        client(&[&router], key, line).await
    }

    /// Stops every process of the fleet.
    pub async fn stop(self) {
        for router in self.routers {
            router.stop().await;
        }
        self.sidecar.stop().await;
    }
}

/// Runs the client against these operator ports.
pub async fn client(routers: &[&str], key: &str, line: &str) -> Said {
    let output = Command::new(env!("CARGO_BIN_EXE_mulberryyoke"))
        .env("MULBERRYYOKE_ROUTER", routers.join(","))
        .env("MULBERRYYOKE_KEY", key)
        .args(line.split_whitespace())
        .output()
        .await;
    output.expect("the client runs").into()
}
