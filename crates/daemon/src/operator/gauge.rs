//! Metrics that are read from the router when they are asked for.

use mulberryyoke_command::answer::{Node, Role};

use super::router_state::RouterState;

/// Sets the gauges of a router.
pub(crate) fn set(source: &dyn RouterState) {
    let router = source.name().to_owned();
    let revision = source.config().revision;
    let tally = source.tally();
    let nodes = source.nodes();
    let behind = nodes.iter().filter(|node| node.lags(revision)).count();
    let (read, written) = source.control_bytes();
    metrics::gauge!("router_config_revision", "router" => router.clone()).set(float(revision));
    metrics::gauge!("router_kv_up", "router" => router.clone()).set(if source.is_kv_up() {
        1.0
    } else {
        0.0
    });
    metrics::gauge!("router_waiting_requests", "router" => router.clone())
        .set(float(tally.waiting));
    metrics::gauge!("router_running_requests", "router" => router.clone())
        .set(float(tally.running));
    metrics::gauge!("router_nodes_up", "router" => router.clone(), "role" => "router")
        .set(up(&nodes, Role::Router));
    metrics::gauge!("router_nodes_up", "router" => router.clone(), "role" => "sidecar")
        .set(up(&nodes, Role::Sidecar));
    metrics::gauge!("router_nodes_behind", "router" => router.clone()).set(float(behind as u64));
    metrics::counter!("router_control_bytes_total", "router" => router.clone(), "way" => "in")
        .absolute(read);
    metrics::counter!("router_control_bytes_total", "router" => router, "way" => "out")
        .absolute(written);
}

fn up(nodes: &[Node], role: Role) -> f64 {
    let count = nodes.iter().filter(|node| node.role == role && node.up);
    float(count.count() as u64)
}

#[expect(clippy::cast_precision_loss, reason = "gauges are floating-point")]
const fn float(number: u64) -> f64 {
    number as f64
}
