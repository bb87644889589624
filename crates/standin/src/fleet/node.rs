//! Settings of the processes, and the VM list that they see.

use std::io;
use std::net::SocketAddr;

use mulberryyoke_model::KeyHash;
use mulberryyoke_platform::vm::{Role, State, Vm};
use serde_json::{Value, json};

use super::operator;
use super::plan::Plan;
use super::process::ReservedPorts;
use super::relay::Relay;

/// Calls that a plain service runs at once.
const SERVICE_SLOTS: usize = 8;

/// Ports of one process.
pub(crate) struct Node {
    pub(crate) name: String,
    pub(crate) zone: &'static str,
    pub(crate) control: SocketAddr,
    pub(crate) data: SocketAddr,
    pub(crate) status: SocketAddr,
}

impl Node {
    pub(crate) fn new(
        name: String,
        zone: &'static str,
        ports: &mut ReservedPorts,
    ) -> io::Result<Self> {
        Ok(Self {
            name,
            zone,
            control: ports.reserve()?,
            data: ports.reserve()?,
            status: ports.reserve()?,
        })
    }

    fn vm(&self, role: Role, control: SocketAddr) -> Vm {
        Vm {
            name: self.name.clone(),
            role,
            region: String::new(),
            zone: self.zone.to_owned(),
            control,
            state: State::Live,
        }
    }
}

impl Plan {
    pub(crate) fn server(&self, index: usize) -> String {
        let (pool, _) = self.pool(index);
        format!("{pool}-{index}")
    }

    /// Pool and slots of a server.
    pub(crate) fn pool(&self, index: usize) -> (&'static str, usize) {
        if index < self.models {
            (self.model, self.flags.slots)
        } else {
            (self.service, SERVICE_SLOTS)
        }
    }
}

/// The VM list as one half of the routers sees it.
pub(crate) fn list(routers: &[Node], servers: &[Node], relays: &[Relay], half: usize) -> Vec<Vm> {
    let routers = routers.iter().zip(relays).enumerate();
    let routers = routers.map(|(index, (node, relay))| {
        let own = index % 2 == half;
        node.vm(Role::Router, if own { node.control } else { relay.address })
    });
    let servers = servers
        .iter()
        .map(|node| node.vm(Role::Sidecar, node.control));
    routers.chain(servers).collect()
}

pub(crate) fn router(plan: &Plan, node: &Node, kv: SocketAddr, vms: SocketAddr) -> Value {
    json!({
        "name": node.name,
        "zone": node.zone,
        "callers": node.data,
        "operators": node.status,
        "control": node.control,
        "kv": [kv],
        "vms": vms,
        "operator_keys": [{"name": "launcher", "key": KeyHash::of(operator::KEY)}],
        "limits": {"subset": plan.flags.subset},
        "exchange_ms": plan.flags.exchange_ms,
        "policy": plan.flags.policy.word(),
    })
}

pub(crate) fn sidecar(
    plan: &Plan,
    node: &Node,
    index: usize,
    backend: SocketAddr,
    kv: SocketAddr,
) -> Value {
    let (pool, slots) = plan.pool(index);
    json!({
        "name": node.name,
        "zone": node.zone,
        "pool": pool,
        "kind": if index < plan.models { "model" } else { "service" },
        "control": node.control,
        "data": node.data,
        "status": node.status,
        "backend": backend,
        "slots": slots,
        "kv": [kv],
        "policy": plan.flags.policy.word(),
    })
}
