//! Metrics that are read from the router on each scrape.

use mulberryyoke_command::api::{Node, Role};

use super::router_state::RouterState;

/// Updates the router's metrics.
pub(crate) fn update(router: &dyn RouterState) {
    let name = router.name().to_owned();
    let revision = router.config().revision;
    let tally = router.tally();
    let nodes = router.nodes();
    let behind = nodes.iter().filter(|node| node.is_behind(revision)).count();
    let (read, written) = router.control_bytes();
    metrics::gauge!("router_config_revision", "router" => name.clone()).set(to_f64(revision));
    metrics::gauge!("router_kv_up", "router" => name.clone()).set(if router.is_kv_up() {
        1.0
    } else {
        0.0
    });
    metrics::gauge!("router_waiting_requests", "router" => name.clone()).set(to_f64(tally.waiting));
    metrics::gauge!("router_running_requests", "router" => name.clone()).set(to_f64(tally.running));
    metrics::gauge!("router_nodes_up", "router" => name.clone(), "role" => "router")
        .set(count_up(&nodes, Role::Router));
    metrics::gauge!("router_nodes_up", "router" => name.clone(), "role" => "sidecar")
        .set(count_up(&nodes, Role::Sidecar));
    metrics::gauge!("router_nodes_behind", "router" => name.clone()).set(to_f64(behind as u64));
    metrics::counter!("router_control_bytes_total", "router" => name.clone(), "way" => "in")
        .absolute(read);
    metrics::counter!("router_control_bytes_total", "router" => name, "way" => "out")
        .absolute(written);
}

fn count_up(nodes: &[Node], role: Role) -> f64 {
    let count = nodes.iter().filter(|node| node.role == role && node.up);
    to_f64(count.count() as u64)
}

#[expect(clippy::cast_precision_loss, reason = "gauges are floating-point")]
const fn to_f64(number: u64) -> f64 {
    number as f64
}
