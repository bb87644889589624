//! Addresses and settings of the processes, and the VM list.

use std::io;
use std::net::SocketAddr;

use mulberryyoke_model::KeyHash;
use mulberryyoke_platform::vm::{Role, State, Vm};
use serde_json::{Value, json};

use super::operator;
use super::plan::Plan;
use super::process::ReservedPorts;
use super::relay::Relay;

/// Number of calls that a plain service runs concurrently.
const SERVICE_SLOTS: usize = 8;

/// Name, zone and addresses of a process.
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
    /// Name of a server.
    pub(crate) fn server_name(&self, index: usize) -> String {
        let (pool, _) = self.pool_and_slots(index);
        format!("{pool}-{index}")
    }

    /// Pool and number of slots of a server.
    pub(crate) fn pool_and_slots(&self, index: usize) -> (&'static str, usize) {
        if index < self.model_servers {
            (self.model_pool, self.flags.slots)
        } else {
            (self.service_pool, SERVICE_SLOTS)
        }
    }
}

/// Builds the VM list for a group of routers, in which routers of the other group have the address
/// of their relay.
pub(crate) fn vm_list(
    routers: &[Node],
    servers: &[Node],
    relays: &[Relay],
    group: usize,
) -> Vec<Vm> {
    let routers = routers.iter().zip(relays).enumerate();
    let routers = routers.map(|(index, (node, relay))| {
        let is_same_group = index % 2 == group;
        node.vm(
            Role::Router,
            if is_same_group {
                node.control
            } else {
                relay.address
            },
        )
    });
    let servers = servers
        .iter()
        .map(|node| node.vm(Role::Sidecar, node.control));
    routers.chain(servers).collect()
}

pub(crate) fn router_settings(plan: &Plan, node: &Node, kv: SocketAddr, vms: SocketAddr) -> Value {
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
        "policy": plan.flags.policy.name(),
    })
}

pub(crate) fn sidecar_settings(
    plan: &Plan,
    node: &Node,
    index: usize,
    backend: SocketAddr,
    kv: SocketAddr,
) -> Value {
    let (pool, slots) = plan.pool_and_slots(index);
    json!({
        "name": node.name,
        "zone": node.zone,
        "pool": pool,
        "kind": if index < plan.model_servers { "model" } else { "service" },
        "control": node.control,
        "data": node.data,
        "status": node.status,
        "backend": backend,
        "slots": slots,
        "kv": [kv],
        "policy": plan.flags.policy.name(),
    })
}
