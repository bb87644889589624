//! Starts the stand-ins and processes of a fleet.

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

/// Duration of a call of the plain service.
const SERVICE_LATENCY: Duration = Duration::from_millis(20);
/// Cost of a call of the plain service, in tokens.
const SERVICE_COST: u32 = 10;
/// Time that a process has to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval of readiness checks.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Running stand-ins and processes.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) plan: Arc<Plan>,
    pub(crate) client: Client,
    pub(crate) kv: kv::Handle,
    /// One VM list per group of routers. Routers connect to those of the other group through
    /// relays.
    _vms: [vms::Handle; 2],
    pub(crate) relays: Vec<Relay>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) services: Vec<Service>,
    /// Engines that cannot get work because of a fault.
    pub(crate) unavailable: Vec<AtomicBool>,
    pub(crate) routers: Vec<Process>,
    /// Sidecars of the engines, followed by those of the services.
    pub(crate) sidecars: Vec<Process>,
    /// Addresses of the caller listeners, by router.
    pub(crate) caller_addresses: Vec<SocketAddr>,
    /// Directory of settings and logs.
    pub(crate) directory: PathBuf,
    _ports: ReservedPorts,
}

fn stand_in_error(source: io::Error) -> Error {
    let name = "stand-in".to_owned();
    Error::Start { name, source }
}

impl Fleet {
    /// Starts all stand-ins and processes, configures pools, customers and servers with operator
    /// commands, and waits until the processes are ready.
    pub(crate) async fn spawn(plan: Arc<Plan>, daemon: PathBuf) -> Result<Self, Error> {
        let name = format!("mulberryyoke-fleet-{}-{}", std::process::id(), now());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).map_err(Error::Settings)?;
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut ports = ReservedPorts::default();
        let kv = kv::Store::bind(any).await.map_err(stand_in_error)?;
        let (engines, services) = bind_backends(&plan, any).await.map_err(stand_in_error)?;
        let routers: Vec<Node> = (0..plan.flags.routers)
            .map(|index| Node::new(format!("router-{index}"), plan.zone(index), &mut ports))
            .collect::<io::Result<_>>()
            .map_err(stand_in_error)?;
        let servers: Vec<Node> = (0..plan.model_servers + plan.service_servers)
            .map(|index| Node::new(plan.server_name(index), plan.zone(index), &mut ports))
            .collect::<io::Result<_>>()
            .map_err(stand_in_error)?;
        let mut relays = Vec::new();
        for router in &routers {
            relays.push(Relay::bind(router.control).await.map_err(stand_in_error)?);
        }
        let mut lists = Vec::new();
        for group in 0..2 {
            let list = node::vm_list(&routers, &servers, &relays, group);
            lists.push(vms::List::bind(any, list).await.map_err(stand_in_error)?);
        }
        let [first, second] = lists.try_into().expect("there are two groups");
        let vms: [vms::Handle; 2] = [first, second];
        let mut sidecars = Vec::new();
        let backends = engines.iter().map(Engine::address);
        let backends = backends.chain(services.iter().map(Service::address));
        for (index, (node, backend)) in servers.iter().zip(backends).enumerate() {
            let settings = node::sidecar_settings(&plan, node, index, backend, kv.address());
            let process = Process::spawn(&daemon, &directory, "sidecar", node.status, &settings)?;
            sidecars.push(process);
        }
        let mut processes = Vec::new();
        for (index, node) in routers.iter().enumerate() {
            let settings =
                node::router_settings(&plan, node, kv.address(), vms[index % 2].address());
            let process = Process::spawn(&daemon, &directory, "router", node.status, &settings)?;
            processes.push(process);
        }
        let fleet = Self {
            client: call::client(),
            kv,
            _vms: vms,
            relays,
            unavailable: engines.iter().map(|_| AtomicBool::new(false)).collect(),
            engines,
            services,
            routers: processes,
            sidecars,
            caller_addresses: routers.iter().map(|node| node.data).collect(),
            directory,
            plan,
            _ports: ports,
        };
        fleet.configure(&servers).await?;
        for process in fleet.sidecars.iter().chain(&fleet.routers) {
            fleet.wait_until_ready(process).await?;
        }
        Ok(fleet)
    }

    /// Waits until the readiness check of a process succeeds.
    pub(crate) async fn wait_until_ready(&self, process: &Process) -> Result<(), Error> {
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until && !process.has_exited() {
            if scrape::get(&self.client, process.status, "/readyz")
                .await
                .is_some()
            {
                return Ok(());
            }
            sleep(READY_CHECK_INTERVAL).await;
        }
        Err(Error::Ready {
            name: process.name.clone(),
            log: process.log_tail(),
        })
    }

    /// Executes an operator command on a router.
    pub(crate) async fn execute(&self, router: usize, words: &[String]) -> Result<(), Error> {
        let address = self.routers[router].status;
        let id = rand::random();
        let response = operator::execute(&self.client, address, words, id).await?;
        match response.error {
            None => Ok(()),
            Some(error) => Err(Error::Command {
                words: words.join(" "),
                reason: error.to_string(),
            }),
        }
    }

    async fn configure(&self, servers: &[Node]) -> Result<(), Error> {
        let plan = &self.plan;
        let mut commands = vec![operator::words(&format!(
            "pool add {} --kind model",
            plan.model_pool
        ))];
        let mut pool = operator::words(&format!(
            "pool add {} --kind service --route",
            plan.service_pool
        ));
        pool.push(format!("POST {} once {SERVICE_COST}", plan.booking_path));
        commands.push(pool);
        for customer in &plan.customers {
            let (name, share, key) = (&customer.name, customer.share, &customer.key);
            let text = format!("customer add {name} --share {share} --key {key}");
            commands.push(operator::words(&text));
        }
        for (index, node) in servers.iter().enumerate() {
            let (pool, slots) = plan.pool_and_slots(index);
            let (name, zone, control, data) = (&node.name, node.zone, node.control, node.data);
            let text = format!(
                "server add {name} --pool {pool} --zone {zone} --control {control} --data {data} --slots {slots}"
            );
            commands.push(operator::words(&text));
        }
        for words in commands {
            self.execute(0, &words).await?;
        }
        Ok(())
    }
}

async fn bind_backends(plan: &Plan, any: SocketAddr) -> io::Result<(Vec<Engine>, Vec<Service>)> {
    let settings = engine::Settings {
        models: vec![plan.model_pool.to_owned()],
        batch_size: plan.flags.slots,
        token_time: Duration::from_millis(plan.flags.token_ms),
        ..engine::Settings::default()
    };
    let mut engines = Vec::new();
    for _ in 0..plan.model_servers {
        engines.push(Engine::bind(any, settings.clone()).await?);
    }
    let mut services = Vec::new();
    for _ in 0..plan.service_servers {
        services.push(Service::bind(any, SERVICE_LATENCY, SERVICE_COST).await?);
    }
    Ok((engines, services))
}
