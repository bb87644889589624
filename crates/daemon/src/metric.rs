//! Process metrics in Prometheus text format.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the recorder unless it is installed.
pub(crate) fn install() {
    handle();
}

/// Renders all metrics. Installs the recorder on the first call.
pub(crate) fn render() -> String {
    handle().map_or_else(String::new, |handle| {
        handle.run_upkeep();
        handle.render()
    })
}

fn handle() -> Option<&'static PrometheusHandle> {
    let handle = HANDLE.get_or_init(|| PrometheusBuilder::new().install_recorder().ok());
    handle.as_ref()
}
