//! Measures the memory that a gateway takes per stream. Callers and servers run in a process of
//! their own, so that the resident set of this one is the gateway's.
//!
//! `cargo run --release -p mulberryyoke-gateway --example memory -- [STREAMS] [BODY_BYTES] [MEMORY_MB]`
//!
//! Each stream sends two events and then waits. Prints the resident set before the streams, its
//! maximum while they are open, and the difference per stream.

#[allow(dead_code, reason = "the tests use all of it")]
#[path = "../tests/gateway/backend.rs"]
mod backend;
#[allow(dead_code, reason = "the tests use all of it")]
#[path = "../tests/gateway/caller.rs"]
mod caller;
#[allow(dead_code, reason = "the tests use all of it")]
#[path = "../tests/gateway/feed.rs"]
mod feed;
#[allow(dead_code, reason = "the tests use all of it")]
#[path = "../tests/gateway/protocol.rs"]
mod protocol;

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use mulberryyoke_gateway::Gateway;
use mulberryyoke_settings as settings;
use tokio::io::AsyncReadExt;
use tokio::runtime::Builder;

use crate::backend::{Backend, Behavior};
use crate::feed::Service;
use crate::protocol::TestProtocol;

/// Slots of a server in the test's configuration.
const SLOTS: usize = 8;

/// Ports of the gateway: callers, health, control, store.
const PORTS: [u16; 4] = [17_411, 17_412, 17_413, 17_414];

/// Time between the start of the streams and the end of the measurement. The streams end after
/// [`protocol::TIMEOUT_MS`].
const HOLD: Duration = Duration::from_millis(protocol::TIMEOUT_MS);

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let is_load = args.first().is_some_and(|arg| arg == "load");
    let numbers = args[usize::from(is_load)..].iter();
    let numbers: Vec<usize> = numbers.filter_map(|arg| arg.parse().ok()).collect();
    let streams = numbers.first().copied().unwrap_or(500);
    let body_bytes = numbers.get(1).copied().unwrap_or(900);
    if is_load {
        run_load(streams, body_bytes);
        return;
    }
    let memory_mb = numbers
        .get(2)
        .and_then(|memory_mb| u64::try_from(*memory_mb).ok());
    let mut load = Command::new(std::env::current_exe().expect("this program"))
        .args(["load", &streams.to_string(), &body_bytes.to_string()])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the load starts");
    let mut lines = BufReader::new(load.stdout.take().expect("a pipe")).lines();
    let service = Service::new();
    service.set("config", Some("1 secret body=1000000"));
    for index in 0..streams.div_ceil(SLOTS) * 2 {
        let address = lines.next().expect("an address").expect("a line");
        let value = format!("model {address} ready");
        service.set(&format!("servers/model-{index}"), Some(&value));
    }
    thread::spawn(move || run_gateway(&service, memory_mb));
    thread::sleep(Duration::from_millis(1_500));
    let before = resident_kb();
    let mut start = load.stdin.take().expect("a pipe");
    start.write_all(b"start\n").expect("the load waits");
    let steps = HOLD.as_millis() / 10;
    let peak = (0..steps).map(|_| {
        thread::sleep(Duration::from_millis(10));
        resident_kb()
    });
    let peak = peak.max().unwrap_or(0);
    let opened = lines.next().expect("a count").expect("a line");
    println!(
        "{{\"streams\":{opened},\"before_kb\":{before},\"peak_kb\":{peak},\"kb_a_stream\":{:.1}}}",
        f64::from(u32::try_from(peak - before).unwrap_or(u32::MAX))
            / opened.parse::<f64>().unwrap_or(1.0)
    );
    load.wait().expect("the load ends");
}

fn run_gateway(service: &Arc<Service>, memory_mb: Option<u64>) {
    let [callers, health, control, store] =
        PORTS.map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let settings = settings::Gateway {
        name: "g0".to_owned(),
        zone: "a".to_owned(),
        callers,
        health,
        control,
        store,
        handoff: None,
        keys_fresh_ms: None,
        grace_ms: 1_000,
        retry_ratio: 0.2,
        retry_slack: 20.0,
        cold_overage: 1.0,
        cold_slack: 0.0,
        processors: 1.0,
        descriptors: 8_192,
        memory_mb,
        kv_writes_per_s: None,
    };
    let logger = mulberryyoke_event::slog::Logger::root(
        mulberryyoke_event::slog::Discard,
        mulberryyoke_event::slog::o!(),
    );
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let feed = feed::Client::new(service);
        let protocol = TestProtocol {
            gateway: "g0".to_owned(),
        };
        let gateway = Gateway::spawn(settings, Arc::new(protocol), feed, logger).await;
        let _gateway = gateway.expect("the gateway starts");
        std::future::pending::<()>().await;
    });
}

/// Starts the servers, prints their addresses, and opens the streams when told so.
fn run_load(streams: usize, body_bytes: usize) {
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(async {
        for _ in 0..streams.div_ceil(SLOTS) * 2 {
            let backend = Backend::spawn(Behavior::HangStream).await;
            println!("{}", backend.address);
        }
        let mut line = String::new();
        let read = std::io::stdin().read_line(&mut line);
        read.expect("the gateway's process tells when to start");
        let body = "b".repeat(body_bytes);
        let request = caller::request_with_body("/stream/", "x-tokens: 100\r\n", &body);
        let mut opened = 0;
        let mut open = Vec::new();
        for _ in 0..streams {
            let address = SocketAddr::from(([127, 0, 0, 1], PORTS[0]));
            let mut stream = caller::open(address, &request).await;
            let mut part = [0; 512];
            let read = stream.read(&mut part).await.unwrap_or(0);
            opened += usize::from(part[..read].starts_with(b"HTTP/1.1 200"));
            open.push(stream);
        }
        tokio::time::sleep(HOLD).await;
        println!("{opened}");
    });
}

/// Resident set size of this process, in kilobytes.
fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("a status");
    let value = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let value = value.and_then(|value| value.trim().strip_suffix(" kB"));
    value.and_then(|kb| kb.parse().ok()).unwrap_or(0)
}
