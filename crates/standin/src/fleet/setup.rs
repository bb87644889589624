//! Starting of stand-ins and processes.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::engine::{self, Engine};
use crate::journal::now;
use crate::service::Service;
use crate::{kv, vms};

use super::call::{self, Client};
use super::error::Error;
use super::node::{self, Node};
use super::operator;
use super::plan::Plan;
use super::process::{Process, ReservedPorts};
use super::relay::Relay;
use super::scrape;

/// Time of a call of the plain service.
const SERVICE_LATENCY: Duration = Duration::from_millis(20);
/// Cost of such a call, in tokens.
pub(crate) const SERVICE_COST: u32 = 10;
/// Longest time that a process may take to become ready.
const READY: Duration = Duration::from_secs(20);
/// Pause between two looks whether it is.
const LOOK: Duration = Duration::from_millis(50);

/// Everything that runs.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) plan: Arc<Plan>,
    pub(crate) client: Client,
    pub(crate) kv: kv::Handle,
    /// The VM list, once for each half of the routers; a half reaches the other
    /// through relays.
    _vms: [vms::Handle; 2],
    pub(crate) relays: Vec<Relay>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) services: Vec<Service>,
    /// Engines whose sidecar a fault has taken away.
    pub(crate) down: Vec<AtomicBool>,
    pub(crate) routers: Vec<Process>,
    /// Sidecars of engines, then of services.
    pub(crate) sidecars: Vec<Process>,
    /// Where callers connect, by router.
    pub(crate) callers: Vec<SocketAddr>,
    /// Where settings and logs are.
    pub(crate) directory: PathBuf,
    _ports: ReservedPorts,
}

fn stand_in(source: io::Error) -> Error {
    let name = "stand-in".to_owned();
    Error::Start { name, source }
}

impl Fleet {
    /// Starts everything and declares the plan through the operators' port.
    pub(crate) async fn spawn(plan: Arc<Plan>, daemon: PathBuf) -> Result<Self, Error> {
        let name = format!("mulberryyoke-fleet-{}-{}", std::process::id(), now());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).map_err(Error::Settings)?;
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut ports = ReservedPorts::default();
        let kv = kv::Store::bind(any).await.map_err(stand_in)?;
        let (engines, services) = backends(&plan, any).await.map_err(stand_in)?;
        let routers: Vec<Node> = (0..plan.flags.routers)
            .map(|index| Node::new(format!("router-{index}"), plan.zone(index), &mut ports))
            .collect::<io::Result<_>>()
            .map_err(stand_in)?;
        let servers: Vec<Node> = (0..plan.models + plan.services)
            .map(|index| Node::new(plan.server(index), plan.zone(index), &mut ports))
            .collect::<io::Result<_>>()
            .map_err(stand_in)?;
        let mut relays = Vec::new();
        for router in &routers {
            relays.push(Relay::bind(router.control).await.map_err(stand_in)?);
        }
        let mut lists = Vec::new();
        for half in 0..2 {
            let list = node::list(&routers, &servers, &relays, half);
            lists.push(vms::List::bind(any, list).await.map_err(stand_in)?);
        }
        let [first, second] = lists.try_into().expect("there are two lists");
        let vms: [vms::Handle; 2] = [first, second];
        let mut sidecars = Vec::new();
        let backends = engines.iter().map(Engine::address);
        let backends = backends.chain(services.iter().map(Service::address));
        for (index, (node, backend)) in servers.iter().zip(backends).enumerate() {
            let settings = node::sidecar(&plan, node, index, backend, kv.address());
            let process = Process::spawn(&daemon, &directory, "sidecar", node.status, &settings)?;
            sidecars.push(process);
        }
        let mut processes = Vec::new();
        for (index, node) in routers.iter().enumerate() {
            let settings = node::router(&plan, node, kv.address(), vms[index % 2].address());
            let process = Process::spawn(&daemon, &directory, "router", node.status, &settings)?;
            processes.push(process);
        }
        let fleet = Self {
            client: call::client(),
            kv,
            _vms: vms,
            relays,
            down: engines.iter().map(|_| AtomicBool::new(false)).collect(),
            engines,
            services,
            routers: processes,
            sidecars,
            callers: routers.iter().map(|node| node.data).collect(),
            directory,
            plan,
            _ports: ports,
        };
        fleet.declare(&servers).await?;
        for process in fleet.sidecars.iter().chain(&fleet.routers) {
            fleet.ready(process).await?;
        }
        Ok(fleet)
    }

    /// Waits until a process says that it is ready.
    pub(crate) async fn ready(&self, process: &Process) -> Result<(), Error> {
        let until = Instant::now() + READY;
        while Instant::now() < until && !process.has_exited() {
            if scrape::get(&self.client, process.status, "/readyz")
                .await
                .is_some()
            {
                return Ok(());
            }
            sleep(LOOK).await;
        }
        Err(Error::Ready {
            name: process.name.clone(),
            log: process.log_tail(),
        })
    }

    /// Carries out an operators' command through a router.
    pub(crate) async fn command(&self, router: usize, words: &[String]) -> Result<(), Error> {
        let address = self.routers[router].status;
        let id = rand::random();
        let reply = operator::execute(&self.client, address, words, id).await?;
        match reply.error {
            None => Ok(()),
            Some(refusal) => Err(Error::Command {
                words: words.join(" "),
                reason: refusal.to_string(),
            }),
        }
    }

    async fn declare(&self, servers: &[Node]) -> Result<(), Error> {
        let plan = &self.plan;
        let mut commands = vec![operator::words(&format!(
            "pool add {} --kind model",
            plan.model
        ))];
        let mut pool =
            operator::words(&format!("pool add {} --kind service --route", plan.service));
        pool.push(format!("POST {} once {SERVICE_COST}", plan.path));
        commands.push(pool);
        for customer in &plan.customers {
            let (name, share, key) = (&customer.name, customer.share, &customer.key);
            let text = format!("customer add {name} --share {share} --key {key}");
            commands.push(operator::words(&text));
        }
        for (index, node) in servers.iter().enumerate() {
            let (pool, slots) = plan.pool(index);
            let (name, zone, control, data) = (&node.name, node.zone, node.control, node.data);
            let text = format!(
                "server add {name} --pool {pool} --zone {zone} --control {control} --data {data} --slots {slots}"
            );
            commands.push(operator::words(&text));
        }
        for words in commands {
            self.command(0, &words).await?;
        }
        Ok(())
    }
}

async fn backends(plan: &Plan, any: SocketAddr) -> io::Result<(Vec<Engine>, Vec<Service>)> {
    let settings = engine::Settings {
        models: vec![plan.model.to_owned()],
        batch_size: plan.flags.slots,
        token_time: Duration::from_millis(plan.flags.token_ms),
        ..engine::Settings::default()
    };
    let mut engines = Vec::new();
    for _ in 0..plan.models {
        engines.push(Engine::bind(any, settings.clone()).await?);
    }
    let mut services = Vec::new();
    for _ in 0..plan.services {
        services.push(Service::bind(any, SERVICE_LATENCY, SERVICE_COST).await?);
    }
    Ok((engines, services))
}
