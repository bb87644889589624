//! Gateways before servers that crash on a part of a prompt, and callers that share its other
//! parts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use crate::caller::{self, Response};
use crate::crash_fleet::PROMPT;
use crate::ending::Ending;
use crate::feed::Service;
use crate::fleet::Node;
use crate::part_server::{BAD_PART, Servers};

/// Time from a crash until the next instance listens.
pub(crate) const ABSENCE: Duration = Duration::from_secs(1);

/// Time after which a gateway that is no longer sent requests is killed.
const LAST_REQUESTS: Duration = Duration::from_millis(150);

/// Time for which a caller tries to connect, and the delay between two attempts.
const CONNECT_TIME: Duration = Duration::from_millis(500);
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Time for the gateways to learn of each other.
const SETTLING: Duration = Duration::from_millis(500);

/// Parts of prompts, all but the last, that crash servers: at each place, beside others.
const BAD_PROMPTS: [&[u64]; 3] = [&[1, 2, BAD_PART], &[1, BAD_PART, 3], &[BAD_PART, 2]];

/// Parts of sound prompts, all but the last. All of them come beside the bad part, too.
const SOUND_PROMPTS: [&[u64]; 4] = [&[1, 2], &[1, 3], &[1, 2, 3], &[1]];

/// Length of a part, in tokens.
const PART_TOKENS: u32 = 200;

/// A gateway on a runtime of its own, with which it can be killed.
struct Gateway {
    node: Node,
    runtime: Option<Runtime>,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    pub(crate) at: Instant,
    /// Whether the first event of an answer came.
    pub(crate) has_begun: bool,
}

/// Gateways, and servers that crash on a part of a prompt.
pub(crate) struct Fleet {
    pub(crate) service: Arc<Service>,
    pub(crate) servers: Arc<Servers>,
    gateways: Mutex<Vec<Arc<Gateway>>>,
    /// Sound requests that have ended.
    sound: Mutex<Vec<Sent>>,
    number: AtomicU64,
}

impl Fleet {
    pub(crate) async fn spawn(gateways: usize, servers: usize, ending: Ending) -> Arc<Self> {
        let service = Service::new();
        service.set("config", Some("5 timeout=3000 secret"));
        let fleet = Arc::new(Self {
            servers: Servers::spawn(&service, servers, ending, ABSENCE),
            service,
            gateways: Mutex::default(),
            sound: Mutex::default(),
            number: AtomicU64::new(1_000),
        });
        for _ in 0..gateways {
            fleet.start_gateway().await;
        }
        sleep(SETTLING).await;
        fleet
    }

    /// Starts a gateway, which is sent requests once it is ready.
    pub(crate) async fn start_gateway(&self) {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let service = Arc::clone(&self.service);
        let name = format!("g{}", self.number.fetch_add(1, Ordering::Relaxed));
        let node = runtime.spawn(async move { Node::spawn(&service, &name).await });
        let node = node.await.expect("no panic");
        node.wait_ready().await;
        self.gateways.lock().push(Arc::new(Gateway {
            node,
            runtime: Some(runtime),
        }));
    }

    /// Kills the gateway that was started first.
    pub(crate) async fn kill_gateway(&self) {
        let gateway = self.gateways.lock().remove(0);
        sleep(LAST_REQUESTS).await;
        drop(gateway);
    }

    /// Sets whether calls to the key-value service fail.
    pub(crate) fn set_outage(&self, is_failing: bool) {
        for gateway in &*self.gateways.lock() {
            gateway.node.kv.set_failing(is_failing);
        }
    }

    /// Sends requests that crash servers, each unlike the others, until the task is dropped.
    pub(crate) async fn send_bad(self: Arc<Self>, path: &'static str, pause: Duration) {
        let mut calls = JoinSet::new();
        let mut ticks = ticks(pause);
        loop {
            ticks.tick().await;
            let (_, call) = self.call(path, &BAD_PROMPTS);
            calls.spawn(call);
        }
    }

    /// Sends sound requests until the task is dropped, and keeps how they ended.
    pub(crate) async fn send_sound(self: Arc<Self>, path: &'static str, pause: Duration) {
        let mut calls = JoinSet::new();
        let mut ticks = ticks(pause);
        loop {
            ticks.tick().await;
            let (at, call) = self.call(path, &SOUND_PROMPTS);
            let fleet = Arc::clone(&self);
            calls.spawn(async move {
                let has_begun = call.await;
                fleet.sound.lock().push(Sent { at, has_begun });
            });
        }
    }

    /// Sound requests that were sent in a span of time and have ended.
    pub(crate) fn sound(&self, from: Instant, to: Instant) -> Vec<Sent> {
        let sound = self.sound.lock();
        let span = sound.iter().filter(|sent| (from..to).contains(&sent.at));
        span.copied().collect()
    }

    /// Address of the gateway whose turn it is.
    fn callers(&self, turn: usize) -> SocketAddr {
        let gateways = self.gateways.lock();
        gateways[turn % gateways.len()].node.callers
    }

    /// Sends a request without shared parts to the gateway whose turn it is.
    pub(crate) async fn send(&self, path: &str, body: &str) -> Response {
        let number = self.number.fetch_add(1, Ordering::Relaxed);
        let turn = usize::try_from(number).expect("it fits");
        let callers = self.callers(turn);
        caller::send(callers, &caller::request_with_body(path, PROMPT, body)).await
    }

    /// Sends a request with these parts, and one of its own, to the gateway whose turn it is.
    pub(crate) async fn send_parts(&self, path: &str, parts: &[u64]) -> Response {
        let number = self.number.fetch_add(1, Ordering::Relaxed);
        let turn = usize::try_from(number).expect("it fits");
        caller::send(self.callers(turn), &request(path, number, parts)).await
    }

    /// Prepares a request with one of these prompts for the gateway whose turn it is. The call
    /// returns whether an answer began.
    fn call(
        &self,
        path: &str,
        prompts: &[&[u64]],
    ) -> (Instant, impl Future<Output = bool> + Send + 'static) {
        let number = self.number.fetch_add(1, Ordering::Relaxed);
        let turn = usize::try_from(number).expect("it fits");
        let request = request(path, number, prompts[turn % prompts.len()]);
        // Prompts and gateways change at different times.
        let callers = self.callers(turn / prompts.len() + turn);
        (Instant::now(), begins(callers, request))
    }
}

/// Sends a request; whether an answer begins.
async fn begins(callers: SocketAddr, request: String) -> bool {
    let Some(mut stream) = connect(callers).await else {
        return false;
    };
    if stream.write_all(request.as_bytes()).await.is_err() {
        return false;
    }
    let response = caller::read_to_end(&mut stream).await;
    response.status == 200 && response.body.contains("data: ")
}

/// Opens a connection. A gateway resets or refuses it while the machine is so busy that the gateway
/// counts as overloaded, or when it was killed.
async fn connect(callers: SocketAddr) -> Option<TcpStream> {
    let until = Instant::now() + CONNECT_TIME;
    loop {
        match TcpStream::connect(callers).await {
            Ok(stream) => return Some(stream),
            Err(_) if Instant::now() < until => sleep(RECONNECT_DELAY).await,
            Err(_) => return None,
        }
    }
}

/// A request with a body and a last part of its own.
fn request(path: &str, number: u64, parts: &[u64]) -> String {
    let parts = parts.iter().chain([&number]);
    let parts: Vec<String> = parts.map(|part| format!("{part}:{PART_TOKENS}")).collect();
    let parts = parts.join(" ");
    let body = number.to_string();
    format!(
        "POST {path} HTTP/1.1\r\nHost: host.example\r\nx-id: r{number}\r\n\
         Authorization: Bearer secret\r\nConnection: close\r\n\
         x-parts: {parts}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn ticks(pause: Duration) -> tokio::time::Interval {
    let mut ticks = interval(pause);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}
