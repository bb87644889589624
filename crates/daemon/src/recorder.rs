//! The metrics recorder, one for each process.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Makes sure that the recorder is installed.
pub(crate) fn install() {
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // A recorder that someone else has installed stays in place.
        let _ = metrics::set_global_recorder(recorder);
        handle
    });
}

/// All metrics in Prometheus text form.
pub(crate) fn render() -> String {
    HANDLE.get().map_or_else(String::new, |handle| {
        handle.run_upkeep();
        handle.render()
    })
}
