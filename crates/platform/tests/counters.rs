//! Metrics of calls and failures.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use googletest::prelude::*;
use metrics_exporter_prometheus::PrometheusBuilder;
use mulberryyoke_platform::kv::{Etcd, Expect, Kv, Options};
use mulberryyoke_platform::vm::{self, Vms};

/// Returns an address that refuses connections.
fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("port");
    listener.local_addr().expect("address")
}

#[gtest]
fn counts_calls_and_failures() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    metrics::with_local_recorder(&recorder, || {
        runtime.block_on(async {
            let client = Etcd::new(vec![unused_address(), unused_address()], Options::default());
            let swap = client.swap("k", Expect::Any, None, None).await;
            expect_that!(swap, err(anything()));
            let list = vm::Http::new(unused_address()).list().await;
            expect_that!(list, err(anything()));
        });
    });
    let text = recorder.handle().render();
    for line in [
        "kv_calls_total{method=\"txn\"} 2",
        "kv_failures_total{method=\"txn\",kind=\"unsent\"} 2",
        "vm_calls_total 1",
        "vm_failures_total 1",
    ] {
        expect_that!(text, contains_substring(line));
    }
}
