//! Processor time of a gateway a request: callers and servers run on threads of
//! their own, so that the gateway's thread can be measured and profiled alone.
//!
//! `cargo run --release -p mulberryyoke-gateway --example cost -- [REQUESTS] [CALLERS] [SERVERS] [refused|long]`
//!
//! With `long` each answer is a stream of 40 events, else of 4. Under `valgrind --tool=callgrind
//! --separate-threads=yes` the thread with most instructions is the gateway's; the program has to
//! be built with `RUSTFLAGS=--cfg=rustix_use_libc` for that. Instructions an event: the difference
//! of two runs with and without `long`, by 36 times the requests.
//!
//! With `refused` every server reads a prompt that takes longer than the objective, and all
//! requests come on kept connections and are refused.

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

/// Ticks of the system's clock a second.
const TICKS_S: f64 = 100.0;

/// Servers, unless said otherwise.
const SERVERS: u32 = 55;

/// Long prompts for each server that are to keep all of them busy: each is sent to the one of
/// some that has least to do.
const LONG_A_SERVER: u32 = 4;

/// Addresses of the gateway: callers, health, control, store.
const PORTS: [u16; 4] = [17_401, 17_402, 17_403, 17_404];

fn main() {
    let mut words = std::env::args().skip(1);
    let mut number = |usual: u32| {
        words
            .next()
            .and_then(|word| word.parse().ok())
            .unwrap_or(usual)
    };
    let (requests, callers, servers) = (number(4_000), number(16), number(SERVERS));
    let word = words.next().unwrap_or_default();
    let is_refused = word == "refused";
    let way = match word.as_str() {
        "refused" => Behavior::Hang,
        "long" => Behavior::LongStream,
        _ => Behavior::Stream,
    };
    let service = Service::new();
    let (sender, receiver) = mpsc::channel();
    let behind = Arc::clone(&service);
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(async {
            service_with_servers(&behind, way, servers).await;
            sender.send(()).expect("the main thread waits");
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().expect("the servers start");
    let gateway = Arc::clone(&service);
    thread::Builder::new()
        .name("gateway".to_owned())
        .spawn(move || run_gateway(&gateway))
        .expect("a thread");
    thread::sleep(Duration::from_millis(1_500));
    if is_refused {
        load(Load::Long, LONG_A_SERVER * servers, LONG_A_SERVER * servers);
    }
    let kind = if is_refused { Load::Kept } else { Load::Fresh };
    let before = ticks();
    let begun = Instant::now();
    let whole = load(kind, requests, callers);
    let spent_ms = (ticks() - before) / TICKS_S * 1_000.0;
    println!(
        "{{\"requests\":{requests},\"whole\":{whole},\"seconds\":{:.2},\"processor_ms_a_request\":{:.3}}}",
        begun.elapsed().as_secs_f64(),
        spent_ms / f64::from(requests)
    );
}

async fn service_with_servers(service: &Service, way: Behavior, servers: u32) {
    service.set("config", Some("1 secret"));
    for index in 0..servers {
        let backend = Backend::spawn(way).await;
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
    };
    let logger = mulberryyoke_event::open_stdout("g0");
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let feed = feed::Client::new(service);
        let words = TestProtocol {
            gateway: "g0".to_owned(),
        };
        let gateway = Gateway::spawn(settings, Arc::new(words), feed, logger).await;
        let _gateway = gateway.expect("the gateway starts");
        std::future::pending::<()>().await;
    });
}

/// What callers send.
#[derive(Clone, Copy, Debug)]
enum Load {
    /// Requests on connections of their own.
    Fresh,
    /// Requests on kept connections.
    Kept,
    /// Long prompts, whose answers nobody waits for.
    Long,
}

/// Sends the requests and returns how many were answered whole.
fn load(kind: Load, requests: u32, callers: u32) -> u32 {
    let left = Arc::new(AtomicU32::new(requests));
    let whole = Arc::new(AtomicU32::new(0));
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(async {
        let mut tasks = Vec::new();
        for _ in 0..callers {
            let (left, whole) = (Arc::clone(&left), Arc::clone(&whole));
            tasks.push(tokio::spawn(async move {
                while left
                    .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1))
                    .is_ok()
                {
                    let is_complete = match kind {
                        Load::Fresh => fresh().await,
                        Load::Long => long().await,
                        Load::Kept => {
                            whole.fetch_add(kept(&left).await, Ordering::Relaxed);
                            return;
                        }
                    };
                    whole.fetch_add(u32::from(is_complete), Ordering::Relaxed);
                }
            }));
        }
        for task in tasks {
            task.await.expect("a caller ends");
        }
    });
    whole.load(Ordering::Relaxed)
}

fn gateway() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], PORTS[0]))
}

async fn fresh() -> bool {
    let request = caller::request("/stream/", "x-tokens: 500\r\n");
    let reply = caller::send(gateway(), &request).await;
    reply.status == 200 && reply.is_complete
}

async fn long() -> bool {
    let request = caller::request("/stream/", "x-tokens: 60000\r\n");
    let stream = caller::open(gateway(), &request).await;
    // It stays open until the process ends.
    std::mem::forget(stream.into_std());
    true
}

/// Sends requests on one connection until none is left, and returns how many were answered.
async fn kept(left: &AtomicU32) -> u32 {
    let request = caller::request("/stream/", "x-tokens: 500\r\n");
    let request = request.replace("Connection: close\r\n", "");
    let mut stream = caller::open(gateway(), &request).await;
    let mut answered = 0;
    let mut read = Vec::new();
    loop {
        read.clear();
        while !read.ends_with(b"}\n") {
            if stream.read_buf(&mut read).await.unwrap_or(0) == 0 {
                return answered;
            }
        }
        answered += 1;
        if left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1))
            .is_err()
        {
            return answered;
        }
        if stream.write_all(request.as_bytes()).await.is_err() {
            return answered;
        }
    }
}

/// Processor time of the gateway's thread, in ticks.
fn ticks() -> f64 {
    let tasks = fs::read_dir("/proc/self/task").expect("the process's threads");
    for task in tasks.flatten() {
        let stat = fs::read_to_string(task.path().join("stat")).unwrap_or_default();
        if let Some((_, fields)) = stat.split_once("(gateway) ") {
            let fields: Vec<f64> = fields
                .split(' ')
                .filter_map(|field| field.parse().ok())
                .collect();
            // Without the state letter, user and system time are the 11th and 12th number.
            return fields.get(10).copied().unwrap_or(0.0) + fields.get(11).copied().unwrap_or(0.0);
        }
    }
    0.0
}
