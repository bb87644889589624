//! A small fleet of router and sidecar processes.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use futures::future::join_all;
use mulberryyoke_command::api::Response;
use mulberryyoke_event::Event;
use mulberryyoke_model::KeyHash;
use mulberryyoke_platform::vm::{Role, State, Vm};
use mulberryyoke_standin::fleet::call::{Client, client};
use mulberryyoke_standin::fleet::operator::{self, words};
use mulberryyoke_standin::fleet::process::{Process, ReservedPorts};
use mulberryyoke_standin::fleet::relay::Relay;
use mulberryyoke_standin::{kv, vms};
use serde_json::{Value, json};

use super::setup::{CUSTOMERS, bearer_key, merge};
use super::{Backend, BlockedPort, Node, Setup, wait};

static FLEET_COUNT: AtomicU32 = AtomicU32::new(0);

/// A small fleet of router and sidecar processes. Dropping it kills them.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) kv: kv::Handle,
    pub(crate) vms: vms::Handle,
    pub(crate) routers: Vec<Node>,
    /// Relay to the control port of each router, used by the other routers.
    pub(crate) router_relays: Vec<Relay>,
    /// Sidecars of the engines, then of the services. The backends have the same order.
    pub(crate) sidecars: Vec<Node>,
    pub(crate) backends: Vec<Backend>,
    /// Relays to the control and data port of each sidecar, if enabled in the setup.
    pub(crate) sidecar_relays: Vec<[Relay; 2]>,
    /// Port through which each sidecar reaches its backend, if blocked and not yet
    /// unblocked.
    pub(crate) blocked_ports: Vec<Option<BlockedPort>>,
    client: Client,
    /// Operator command that configures each server.
    server_commands: Vec<String>,
    /// Number of servers configured at the start.
    configured_servers: usize,
    directory: PathBuf,
    _ports: ReservedPorts,
}

/// Listen addresses of one process.
#[derive(Clone, Copy)]
struct Addresses {
    control: SocketAddr,
    data: SocketAddr,
    status: SocketAddr,
}

impl Addresses {
    fn allocate(ports: &mut ReservedPorts) -> Self {
        Self {
            control: ports.reserve().unwrap(),
            data: ports.reserve().unwrap(),
            status: ports.reserve().unwrap(),
        }
    }
}

impl Fleet {
    /// Starts and configures a fleet, and waits until every router is connected to
    /// every configured server.
    pub(crate) async fn spawn(setup: Setup) -> Self {
        let number = FLEET_COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("mulberryyoke-proof-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).unwrap();
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut ports = ReservedPorts::default();
        let mut allocate = |_| Addresses::allocate(&mut ports);
        let routers: Vec<Addresses> = (0..setup.routers).map(&mut allocate).collect();
        let servers = setup.engines + setup.services;
        let servers: Vec<Addresses> = (0..servers).map(&mut allocate).collect();
        let router_relays = routers
            .iter()
            .map(|addresses| Relay::bind(addresses.control));
        let router_relays: Vec<Relay> = join_all(router_relays)
            .await
            .into_iter()
            .map(Result::unwrap)
            .collect();
        let mut fleet = Self {
            kv: kv::Store::bind(any).await.unwrap(),
            vms: vms::List::bind(any, Vec::new()).await.unwrap(),
            routers: Vec::new(),
            router_relays,
            sidecars: Vec::new(),
            backends: Vec::new(),
            sidecar_relays: Vec::new(),
            blocked_ports: Vec::new(),
            client: client(),
            server_commands: Vec::new(),
            configured_servers: servers.len() - setup.unconfigured,
            directory,
            _ports: ports,
        };
        for (index, addresses) in servers.iter().enumerate() {
            fleet.spawn_server(&setup, index, *addresses).await;
        }
        for (index, addresses) in routers.iter().enumerate() {
            fleet.spawn_router(&setup, index, *addresses);
        }
        fleet.configure().await;
        for index in 0..setup.routers {
            fleet.wait_connected(index).await;
        }
        fleet
    }

    async fn spawn_server(&mut self, setup: &Setup, index: usize, addresses: Addresses) {
        let (pool, kind, backend) = if index < setup.engines {
            ("assistant", "model", Backend::spawn_engine(setup).await)
        } else {
            ("booking", "service", Backend::spawn_service(setup).await)
        };
        let name = format!(
            "{pool}-{}",
            index - if kind == "model" { 0 } else { setup.engines }
        );
        let blocked_port = if setup.block_backends {
            Some(BlockedPort::bind().await)
        } else {
            None
        };
        let address = blocked_port
            .as_ref()
            .map_or(backend.relay.address, |port| port.address);
        let settings = json!({
            "name": name,
            "zone": "delta-a",
            "pool": pool,
            "kind": kind,
            "control": addresses.control,
            "data": addresses.data,
            "status": addresses.status,
            "backend": address,
            "slots": setup.slots,
            "kv": [self.kv.address()],
        });
        let settings = merge(settings, &setup.sidecar_settings);
        let (mut control, mut data) = (addresses.control, addresses.data);
        if setup.with_sidecar_relays {
            let relays = [
                Relay::bind(control).await.unwrap(),
                Relay::bind(data).await.unwrap(),
            ];
            [control, data] = [relays[0].address, relays[1].address];
            self.sidecar_relays.push(relays);
        }
        let slots = setup.slots;
        self.server_commands.push(format!(
            "server add {name} --pool {pool} --zone delta-a --control {control} --data {data} --slots {slots}"
        ));
        self.register_vm(&name, Role::Sidecar, addresses.control);
        let process = spawn_process(&self.directory, "sidecar", addresses, &settings);
        self.sidecars.push(Node::new(process, addresses.data));
        self.backends.push(backend);
        self.blocked_ports.push(blocked_port);
    }

    fn spawn_router(&mut self, setup: &Setup, index: usize, addresses: Addresses) {
        let name = format!("router-{index}");
        let settings = json!({
            "name": name,
            "zone": "delta-a",
            "callers": addresses.data,
            "operators": addresses.status,
            "control": addresses.control,
            "kv": [self.kv.address()],
            "vms": self.vms.address(),
            "operator_keys": [{"name": "proof", "key": KeyHash::of(operator::KEY)}],
            "exchange_ms": 200,
        });
        let settings = merge(settings, &setup.router_settings);
        self.register_vm(&name, Role::Router, self.router_relays[index].address);
        let process = spawn_process(&self.directory, "router", addresses, &settings);
        self.routers.push(Node::new(process, addresses.data));
    }

    fn register_vm(&self, name: &str, role: Role, control: SocketAddr) {
        let vm = Vm {
            name: name.to_owned(),
            role,
            region: String::new(),
            zone: "delta-a".to_owned(),
            control,
            state: State::Live,
        };
        self.vms.update(vms::Update {
            add: vec![vm],
            ..vms::Update::default()
        });
    }

    async fn configure(&self) {
        self.run_command(0, "pool add assistant --kind model").await;
        let mut pool = words("pool add booking --kind service --route");
        pool.push("POST /bookings once 10".to_owned());
        let response = self.send_command(0, &pool, 1).await;
        assert!(response.ok, "{response:?}");
        for customer in CUSTOMERS {
            let key = bearer_key(customer);
            self.run_command(0, &format!("customer add {customer} --key {key}"))
                .await;
        }
        for command in &self.server_commands[..self.configured_servers] {
            self.run_command(0, command).await;
        }
    }

    /// Address of a router for callers.
    pub(crate) fn caller_address(&self, index: usize) -> SocketAddr {
        self.routers[index].data_address
    }

    /// Runs an operator command through a router, which must accept it.
    pub(crate) async fn run_command(&self, router: usize, text: &str) -> Value {
        let response = self
            .send_command(router, &words(text), rand::random())
            .await;
        assert!(response.ok, "{text}: {response:?}");
        serde_json::to_value(response.answer).unwrap()
    }

    /// Sends an operator command with an ID until its result is known.
    pub(crate) async fn send_command(&self, router: usize, words: &[String], id: u64) -> Response {
        let router = self.routers[router].status_address();
        let response = operator::execute(&self.client, router, words, id).await;
        response.unwrap()
    }

    /// Configures a server that was not configured at the start.
    pub(crate) async fn configure_server(&self, router: usize, server: usize) {
        self.run_command(router, &self.server_commands[server])
            .await;
    }

    /// Whether a router reports that it is ready.
    pub(crate) async fn is_ready(&self, router: usize) -> bool {
        let status = self.routers[router].status_address();
        super::request::get(status, "/readyz")
            .await
            .is_some_and(|(code, _)| code == 200)
    }

    /// Waits until a router is connected to every server configured at the start.
    pub(crate) async fn wait_connected(&self, router: usize) {
        for sidecar in &self.sidecars[..self.configured_servers] {
            self.wait_connected_to(router, sidecar).await;
        }
    }

    /// Waits until a router has connected to a server.
    pub(crate) async fn wait_connected_to(&self, router: usize, sidecar: &Node) {
        let is_server = |line: &Value| line["server"] == sidecar.name;
        self.routers[router]
            .wait_event(Event::LinkUp, is_server)
            .await;
    }

    /// Waits until a router has reconnected to a server.
    pub(crate) async fn wait_reconnected(&self, router: usize, server: usize) {
        let router = &self.routers[router];
        let name = &self.sidecars[server].name;
        let last_time = |event| {
            let events = router.events(event);
            let last = events.iter().rfind(|line| line["server"] == **name);
            last.map(|line| line["ts"].to_string())
        };
        let is_connected = || last_time(Event::LinkUp) > last_time(Event::LinkDown);
        wait::until_true(
            &format!("{} to reconnect to {name}", router.name),
            is_connected,
        )
        .await;
    }

    /// Number of times the backends have started a request. Backends do not queue
    /// requests, since each has capacity for all that its sidecar starts.
    pub(crate) fn start_count(&self, op: &str) -> usize {
        let runs = self.backends.iter().flat_map(|backend| backend.runs(op));
        runs.filter(|run| run.started > 0).count()
    }

    /// Waits until the backends have started a request `count` times.
    pub(crate) async fn wait_started(&self, op: &str, count: usize) {
        wait::until(&format!("{count} starts of {op}"), async || {
            let starts = self.start_count(op);
            (starts >= count)
                .then_some(())
                .ok_or(format!("{starts} starts"))
        })
        .await;
    }

    /// Unblocks the port of a backend and waits until a connection is established.
    pub(crate) async fn unblock_backend(&mut self, server: usize) {
        let blocked_port = self.blocked_ports[server].take().unwrap();
        blocked_port
            .unblock(self.backends[server].relay.address)
            .await;
    }

    /// Outcome of a request as reported by a router.
    pub(crate) async fn outcome(&self, router: usize, id: &str) -> String {
        super::request::fetch_outcome(self.caller_address(router), id).await
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            std::fs::remove_dir_all(&self.directory).ok();
        }
    }
}

fn spawn_process(
    directory: &Path,
    role: &'static str,
    addresses: Addresses,
    settings: &Value,
) -> Process {
    let daemon = Path::new(env!("CARGO_BIN_EXE_mulberryyoked"));
    Process::spawn(daemon, directory, role, addresses.status, settings).unwrap()
}
