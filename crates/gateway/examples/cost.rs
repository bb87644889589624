//! Measures a gateway's processor time per request. Callers and servers run on their own threads,
//! so that the gateway's thread can be measured and profiled in isolation.
//!
//! `cargo run --release -p mulberryyoke-gateway --example cost -- [REQUESTS] [CALLERS] [SERVERS] [refused|long]`
//!
//! With `long` each response is a stream of 40 events instead of 4. To profile with
//! `valgrind --tool=callgrind --separate-threads=yes`, build with
//! `RUSTFLAGS=--cfg=rustix_use_libc`; the gateway's thread is the one with the most instructions.
//! The instructions per event are the difference between a run with and one without `long`,
//! divided by 36 times the number of requests.
//!
//! With `refused` every server is occupied by a long prompt; all requests use persistent
//! connections and are refused.

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
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use mulberryyoke_gateway::Gateway;
use mulberryyoke_settings as settings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::runtime::Builder;

use crate::backend::{Backend, Behavior};
use crate::feed::Service;
use crate::protocol::TestProtocol;

/// Clock ticks per second in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

const DEFAULT_SERVERS: u32 = 55;

/// Long prompts per server. One each would not occupy all servers, since the gateway chooses the
/// least loaded server among a sample.
const LONG_PROMPTS_PER_SERVER: u32 = 4;

/// Ports of the gateway: callers, health, control, store.
const PORTS: [u16; 4] = [17_401, 17_402, 17_403, 17_404];

fn main() {
    let mut args = std::env::args().skip(1);
    let mut number = |default: u32| {
        args.next()
            .and_then(|arg| arg.parse().ok())
            .unwrap_or(default)
    };
    let (requests, callers, servers) = (number(4_000), number(16), number(DEFAULT_SERVERS));
    let mode = args.next().unwrap_or_default();
    let is_refused = mode == "refused";
    let behavior = match mode.as_str() {
        "refused" => Behavior::Hang,
        "long" => Behavior::LongStream,
        _ => Behavior::Stream,
    };
    let service = Service::new();
    let (sender, receiver) = mpsc::channel();
    let servers_service = Arc::clone(&service);
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(async {
            start_servers(&servers_service, behavior, servers).await;
            sender.send(()).expect("the main thread waits");
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().expect("the servers start");
    let gateway_service = Arc::clone(&service);
    thread::Builder::new()
        .name("gateway".to_owned())
        .spawn(move || run_gateway(&gateway_service))
        .expect("a thread");
    thread::sleep(Duration::from_millis(1_500));
    if is_refused {
        run_load(
            Load::LongPrompt,
            LONG_PROMPTS_PER_SERVER * servers,
            LONG_PROMPTS_PER_SERVER * servers,
        );
    }
    let load = if is_refused {
        Load::KeepAlive
    } else {
        Load::NewConnection
    };
    let start_ticks = gateway_thread_ticks();
    let start = Instant::now();
    let completed = run_load(load, requests, callers);
    let spent_ms = (gateway_thread_ticks() - start_ticks) / TICKS_PER_SECOND * 1_000.0;
    println!(
        "{{\"requests\":{requests},\"whole\":{completed},\"seconds\":{:.2},\"processor_ms_a_request\":{:.3}}}",
        start.elapsed().as_secs_f64(),
        spent_ms / f64::from(requests)
    );
}

async fn start_servers(service: &Service, behavior: Behavior, servers: u32) {
    service.set("config", Some("1 secret"));
    for index in 0..servers {
        let backend = Backend::spawn(behavior).await;
        let value = format!("model {} ready", backend.address);
        service.set(&format!("servers/model-{index}"), Some(&value));
    }
}

fn run_gateway(service: &Arc<Service>) {
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
        descriptors: 4_096,
        memory_mb: None,
        kv_writes_per_s: None,
    };
    let logger = mulberryyoke_event::open_stdout("g0");
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

/// Kind of requests that callers send.
#[derive(Clone, Copy, Debug)]
enum Load {
    /// Each request on a new connection.
    NewConnection,
    /// Requests on persistent connections.
    KeepAlive,
    /// Long prompts whose responses are not read.
    LongPrompt,
}

/// Sends the requests and returns how many got a complete response.
fn run_load(load: Load, requests: u32, callers: u32) -> u32 {
    let remaining = Arc::new(AtomicU32::new(requests));
    let completed = Arc::new(AtomicU32::new(0));
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(async {
        let mut tasks = Vec::new();
        for _ in 0..callers {
            let (remaining, completed) = (Arc::clone(&remaining), Arc::clone(&completed));
            tasks.push(tokio::spawn(async move {
                while remaining
                    .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1))
                    .is_ok()
                {
                    let is_complete = match load {
                        Load::NewConnection => send_request().await,
                        Load::LongPrompt => send_long_prompt().await,
                        Load::KeepAlive => {
                            completed
                                .fetch_add(send_keep_alive(&remaining).await, Ordering::Relaxed);
                            return;
                        }
                    };
                    completed.fetch_add(u32::from(is_complete), Ordering::Relaxed);
                }
            }));
        }
        for task in tasks {
            task.await.expect("a caller ends");
        }
    });
    completed.load(Ordering::Relaxed)
}

fn callers_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], PORTS[0]))
}

async fn send_request() -> bool {
    let request = caller::request("/stream/", "x-tokens: 500\r\n");
    let response = caller::send(callers_address(), &request).await;
    response.status == 200 && response.is_complete
}

async fn send_long_prompt() -> bool {
    let request = caller::request("/stream/", "x-tokens: 60000\r\n");
    let stream = caller::open(callers_address(), &request).await;
    // Keeps the connection open until the process exits.
    std::mem::forget(stream.into_std());
    true
}

/// Sends requests on one connection until none remains and returns the number of responses.
async fn send_keep_alive(remaining: &AtomicU32) -> u32 {
    let request = caller::request("/stream/", "x-tokens: 500\r\n");
    let request = request.replace("Connection: close\r\n", "");
    let mut stream = caller::open(callers_address(), &request).await;
    let mut responses = 0;
    let mut buffer = Vec::new();
    loop {
        buffer.clear();
        while !buffer.ends_with(b"}\n") {
            if stream.read_buf(&mut buffer).await.unwrap_or(0) == 0 {
                return responses;
            }
        }
        responses += 1;
        if remaining
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1))
            .is_err()
        {
            return responses;
        }
        if stream.write_all(request.as_bytes()).await.is_err() {
            return responses;
        }
    }
}

/// Returns the processor time of the gateway's thread, in clock ticks.
fn gateway_thread_ticks() -> f64 {
    let tasks = fs::read_dir("/proc/self/task").expect("the threads of the process are listed");
    for task in tasks.flatten() {
        let stat = fs::read_to_string(task.path().join("stat")).unwrap_or_default();
        if let Some((_, fields)) = stat.split_once("(gateway) ") {
            let fields: Vec<f64> = fields
                .split(' ')
                .filter_map(|field| field.parse().ok())
                .collect();
            // Only numeric fields are kept: user and system time are the 11th and 12th.
            return fields.get(10).copied().unwrap_or(0.0) + fields.get(11).copied().unwrap_or(0.0);
        }
    }
    0.0
}
