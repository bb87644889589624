//! A small fleet of real processes.

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
use mulberryyoke_standin::fleet::process::{Ports, Process};
use mulberryyoke_standin::fleet::relay::Relay;
use mulberryyoke_standin::{kv, vms};
use serde_json::{Value, json};

use super::setup::{CUSTOMERS, key, with};
use super::{Backend, Gate, Node, Setup, wait};

static FLEETS: AtomicU32 = AtomicU32::new(0);

/// A small fleet of real processes; it ends with the test.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) kv: kv::Handle,
    pub(crate) vms: vms::Handle,
    pub(crate) routers: Vec<Node>,
    /// Links to each router from the others.
    pub(crate) peers: Vec<Relay>,
    /// Sidecars of engines, then of services; backends in the same order.
    pub(crate) sidecars: Vec<Node>,
    pub(crate) backends: Vec<Backend>,
    /// Links to each sidecar, when relayed: control, then data.
    pub(crate) links: Vec<[Relay; 2]>,
    /// Ways to each backend, when gated.
    pub(crate) gates: Vec<Option<Gate>>,
    client: Client,
    /// Commands that configure each server.
    added: Vec<String>,
    configured: usize,
    directory: PathBuf,
    _ports: Ports,
}

/// Addresses of one process.
#[derive(Clone, Copy)]
struct Place {
    control: SocketAddr,
    data: SocketAddr,
    status: SocketAddr,
}

impl Place {
    fn take(ports: &mut Ports) -> Self {
        Self {
            control: ports.take().unwrap(),
            data: ports.take().unwrap(),
            status: ports.take().unwrap(),
        }
    }
}

impl Fleet {
    /// Starts a fleet, configures it and waits until every router is connected to
    /// every configured server.
    pub(crate) async fn spawn(setup: Setup) -> Self {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let name = format!("mulberryyoke-proof-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).unwrap();
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut ports = Ports::default();
        let mut place = |_| Place::take(&mut ports);
        let routers: Vec<Place> = (0..setup.routers).map(&mut place).collect();
        let servers = setup.engines + setup.services;
        let servers: Vec<Place> = (0..servers).map(&mut place).collect();
        let peers = routers.iter().map(|place| Relay::bind(place.control));
        let peers: Vec<Relay> = join_all(peers)
            .await
            .into_iter()
            .map(Result::unwrap)
            .collect();
        let mut fleet = Self {
            kv: kv::Store::bind(any).await.unwrap(),
            vms: vms::List::bind(any, Vec::new()).await.unwrap(),
            routers: Vec::new(),
            peers,
            sidecars: Vec::new(),
            backends: Vec::new(),
            links: Vec::new(),
            gates: Vec::new(),
            client: client(),
            added: Vec::new(),
            configured: servers.len() - setup.spare,
            directory,
            _ports: ports,
        };
        for (index, place) in servers.iter().enumerate() {
            fleet.add_server(&setup, index, *place).await;
        }
        for (index, place) in routers.iter().enumerate() {
            fleet.add_router(&setup, index, *place);
        }
        fleet.configure().await;
        for index in 0..setup.routers {
            fleet.linked(index).await;
        }
        fleet
    }

    async fn add_server(&mut self, setup: &Setup, index: usize, place: Place) {
        let (pool, kind, backend) = if index < setup.engines {
            ("assistant", "model", Backend::engine(setup).await)
        } else {
            ("booking", "service", Backend::service(setup).await)
        };
        let name = format!(
            "{pool}-{}",
            index - if kind == "model" { 0 } else { setup.engines }
        );
        let gate = if setup.gated {
            Some(Gate::bind().await)
        } else {
            None
        };
        let address = gate
            .as_ref()
            .map_or(backend.relay.address, |gate| gate.address);
        let settings = json!({
            "name": name,
            "zone": "delta-a",
            "pool": pool,
            "kind": kind,
            "control": place.control,
            "data": place.data,
            "status": place.status,
            "backend": address,
            "slots": setup.slots,
            "kv": [self.kv.address()],
        });
        let settings = with(settings, &setup.sidecar);
        let (mut control, mut data) = (place.control, place.data);
        if setup.relayed {
            let links = [
                Relay::bind(control).await.unwrap(),
                Relay::bind(data).await.unwrap(),
            ];
            [control, data] = [links[0].address, links[1].address];
            self.links.push(links);
        }
        let slots = setup.slots;
        self.added.push(format!(
            "server add {name} --pool {pool} --zone delta-a --control {control} --data {data} --slots {slots}"
        ));
        self.list(&name, Role::Sidecar, place.control);
        let process = spawn(&self.directory, "sidecar", place, &settings);
        self.sidecars.push(Node::new(process, place.data));
        self.backends.push(backend);
        self.gates.push(gate);
    }

    fn add_router(&mut self, setup: &Setup, index: usize, place: Place) {
        let name = format!("router-{index}");
        let settings = json!({
            "name": name,
            "zone": "delta-a",
            "callers": place.data,
            "operators": place.status,
            "control": place.control,
            "kv": [self.kv.address()],
            "vms": self.vms.address(),
            "operator_keys": [{"name": "proof", "key": KeyHash::of(operator::KEY)}],
            "exchange_ms": 200,
        });
        let settings = with(settings, &setup.router);
        self.list(&name, Role::Router, self.peers[index].address);
        let process = spawn(&self.directory, "router", place, &settings);
        self.routers.push(Node::new(process, place.data));
    }

    fn list(&self, name: &str, role: Role, control: SocketAddr) {
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
        self.command(0, "pool add assistant --kind model").await;
        let mut pool = words("pool add booking --kind service --route");
        pool.push("POST /bookings once 10".to_owned());
        let reply = self.send(0, &pool, 1).await;
        assert!(reply.ok, "{reply:?}");
        for customer in CUSTOMERS {
            let key = key(customer);
            self.command(0, &format!("customer add {customer} --key {key}"))
                .await;
        }
        for added in &self.added[..self.configured] {
            self.command(0, added).await;
        }
    }

    /// Where callers connect to a router.
    pub(crate) fn router(&self, index: usize) -> SocketAddr {
        self.routers[index].data
    }

    /// Carries out an operators' command through a router; it must be accepted.
    pub(crate) async fn command(&self, router: usize, text: &str) -> Value {
        let reply = self.send(router, &words(text), rand::random()).await;
        assert!(reply.ok, "{text}: {reply:?}");
        serde_json::to_value(reply.answer).unwrap()
    }

    /// Sends an operators' command under an id until its result is known.
    pub(crate) async fn send(&self, router: usize, words: &[String], id: u64) -> Response {
        let router = self.routers[router].status();
        let settled = operator::settle(&self.client, router, words, id).await;
        settled.unwrap()
    }

    /// Configures a server that was left out at the start.
    pub(crate) async fn add(&self, router: usize, server: usize) {
        self.command(router, &self.added[server]).await;
    }

    /// Whether a router says that it takes requests.
    pub(crate) async fn is_ready(&self, router: usize) -> bool {
        let status = self.routers[router].status();
        super::ask::get(status, "/readyz")
            .await
            .is_some_and(|(code, _)| code == 200)
    }

    /// Waits until a router is connected to every server configured at the start.
    pub(crate) async fn linked(&self, router: usize) {
        for sidecar in &self.sidecars[..self.configured] {
            self.linked_to(router, sidecar).await;
        }
    }

    /// Waits until a router is connected to a server.
    pub(crate) async fn linked_to(&self, router: usize, sidecar: &Node) {
        let up = |line: &Value| line["server"] == sidecar.name;
        self.routers[router].event(Event::LinkUp, up).await;
    }

    /// Waits until a router is connected to a server once more.
    pub(crate) async fn linked_again(&self, router: usize, server: usize) {
        let router = &self.routers[router];
        let name = &self.sidecars[server].name;
        let last = |event| {
            let events = router.events(event);
            let last = events.iter().rfind(|line| line["server"] == **name);
            last.map(|line| line["ts"].to_string())
        };
        let is_up = || last(Event::LinkUp) > last(Event::LinkDown);
        wait::holds(&format!("{} to be connected", router.name), is_up).await;
    }

    /// Starts of a request at the backends. Waiting there is none: every backend
    /// has room for what its sidecar starts.
    pub(crate) fn starts(&self, op: &str) -> usize {
        let runs = self.backends.iter().flat_map(|backend| backend.runs(op));
        runs.filter(|run| run.started > 0).count()
    }

    /// Waits until a number of starts of a request have been seen.
    pub(crate) async fn started(&self, op: &str, count: usize) {
        wait::until(&format!("{count} starts of {op}"), async || {
            let starts = self.starts(op);
            (starts >= count)
                .then_some(())
                .ok_or(format!("{starts} starts"))
        })
        .await;
    }

    /// Opens a backend's gate and waits until a connection to it is set up.
    pub(crate) async fn open_gate(&mut self, server: usize) {
        let gate = self.gates[server].take().unwrap();
        gate.open(self.backends[server].relay.address).await;
    }

    /// What a router tells of a request's outcome.
    pub(crate) async fn outcome(&self, router: usize, id: &str) -> String {
        super::ask::outcome(self.router(router), id).await
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            std::fs::remove_dir_all(&self.directory).ok();
        }
    }
}

fn spawn(directory: &Path, role: &'static str, place: Place, settings: &Value) -> Process {
    let daemon = Path::new(env!("CARGO_BIN_EXE_mulberryyoked"));
    Process::spawn(daemon, directory, role, place.status, settings).unwrap()
}
