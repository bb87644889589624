//! Servers that end when they run a marked request, and come back in a new life.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::backend::{Behavior, State, read_request, respond};
use crate::feed::Service;

/// Body of a request that ends each server which begins to run it.
pub(crate) const CRASH_BODY: &str = "bad";

/// Body of a request of some name that ends as many servers as `times` says, the first that
/// begin to run it, and no others.
pub(crate) fn crash_times_body(times: u32, name: &str) -> String {
    format!("{UNLUCKY}{times} {name}")
}

const UNLUCKY: &str = "unlucky ";

/// Time from a server's end until its registration lapses.
const LAPSE: Duration = Duration::from_millis(700);

/// Time from then until it is back.
const BACK: Duration = Duration::from_millis(300);

/// Time for which a marked request runs before its server ends.
const RUNS: Duration = Duration::from_millis(40);

/// Under which name a server comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RestartName {
    New,
    Same,
}

/// A server that lives, ends and comes back.
#[derive(Debug)]
pub(crate) struct CrashingServer {
    pub(crate) state: Arc<State>,
    ended: Arc<AtomicU32>,
    killed: Arc<std::sync::Mutex<CancellationToken>>,
}

/// Servers of a fleet that unlucky requests have ended, by their bodies.
pub(crate) type CrashCounts = Arc<std::sync::Mutex<HashMap<Vec<u8>, u32>>>;

/// Whether a request ends the server that runs it.
fn ends_server(body: &[u8], luck: &CrashCounts) -> bool {
    let text = std::str::from_utf8(body).unwrap_or("");
    let Some((times, _)) = text
        .strip_prefix(UNLUCKY)
        .and_then(|rest| rest.split_once(' '))
    else {
        return text == CRASH_BODY;
    };
    let mut luck = luck.lock().expect("no panic");
    let ended = luck.entry(body.to_vec()).or_default();
    *ended += 1;
    times.parse().is_ok_and(|times| *ended <= times)
}

impl CrashingServer {
    /// Starts the server of an index, registered in both pools, of a fleet with this luck.
    pub(crate) async fn spawn(
        service: &Arc<Service>,
        index: usize,
        name: RestartName,
        way: Behavior,
        luck: &CrashCounts,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let server = Self {
            state: Arc::new(State::new(way)),
            ended: Arc::default(),
            killed: Arc::default(),
        };
        let life = Instance {
            service: Arc::clone(service),
            address: listener.local_addr().expect("an address"),
            index,
            name,
            number: 1,
            luck: Arc::clone(luck),
        };
        life.register();
        let (state, ended) = (Arc::clone(&server.state), Arc::clone(&server.ended));
        tokio::spawn(run(
            life,
            listener,
            state,
            ended,
            Arc::clone(&server.killed),
        ));
        server
    }

    /// Lives of it that have ended.
    pub(crate) fn crash_count(&self) -> u32 {
        self.ended.load(Ordering::Relaxed)
    }

    /// Ends it, whatever it runs.
    pub(crate) fn kill(&self) {
        self.killed.lock().expect("no panic").cancel();
    }
}

/// Lives of all these servers that have ended.
pub(crate) fn crash_count(servers: &[CrashingServer]) -> u32 {
    servers.iter().map(CrashingServer::crash_count).sum()
}

/// One life of a server.
struct Instance {
    service: Arc<Service>,
    address: SocketAddr,
    index: usize,
    name: RestartName,
    number: u32,
    luck: CrashCounts,
}

impl Instance {
    fn keys(&self) -> [(&'static str, String); 2] {
        ["plain", "model"].map(|pool| {
            let key = match self.name {
                RestartName::New => format!("servers/{pool}-{}-{}", self.index, self.number),
                RestartName::Same => format!("servers/{pool}-{}", self.index),
            };
            (pool, key)
        })
    }

    fn register(&self) {
        for (pool, key) in self.keys() {
            let born = match self.name {
                RestartName::New => String::new(),
                RestartName::Same => self.number.to_string(),
            };
            let value = format!("{pool} {} ready {born}", self.address);
            self.service.set(&key, Some(&value));
        }
    }

    fn lapse(&self) {
        for (_, key) in self.keys() {
            self.service.set(&key, None);
        }
    }
}

async fn run(
    mut life: Instance,
    mut listener: TcpListener,
    state: Arc<State>,
    ended: Arc<AtomicU32>,
    killed: Arc<std::sync::Mutex<CancellationToken>>,
) {
    loop {
        let end = CancellationToken::new();
        *killed.lock().expect("no panic") = end.clone();
        serve(listener, &state, &life.luck, &end).await;
        ended.fetch_add(1, Ordering::Relaxed);
        sleep(LAPSE).await;
        life.lapse();
        sleep(BACK).await;
        life.number += 1;
        listener = TcpListener::bind(life.address).await.expect("its port");
        life.register();
    }
}

/// Serves until the life's end, at which all connections are closed and none is taken.
async fn serve(
    listener: TcpListener,
    state: &Arc<State>,
    luck: &CrashCounts,
    end: &CancellationToken,
) {
    let mut conns = JoinSet::new();
    loop {
        tokio::select! {
            () = end.cancelled() => return,
            Ok((stream, _)) = listener.accept() => {
                conns.spawn(answer(stream, Arc::clone(state), Arc::clone(luck), end.clone()));
            }
        }
    }
}

async fn answer(
    mut stream: TcpStream,
    state: Arc<State>,
    luck: CrashCounts,
    end: CancellationToken,
) {
    while let Some((head, body)) = read_request(&mut stream).await {
        if ends_server(&body, &luck) {
            let is_stream =
                head.starts_with("post /stream/") || head.starts_with("post /resumable/");
            if is_stream {
                let begin = "HTTP/1.1 200 OK\r\nx-id: q1\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n";
                // The router may have left.
                let _ = stream.write_all(begin.as_bytes()).await;
            }
            sleep(RUNS).await;
            end.cancel();
            return;
        }
        if !respond(&mut stream, &state, &head).await {
            return;
        }
    }
}
