//! The process's metrics, in Prometheus text form.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Begins the recording, unless it has begun.
pub(crate) fn install() {
    handle();
}

/// Every metric of this process. The first call begins the recording.
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
