//! Servers that crash when they run a marked request, and restart as a new instance.

use std::collections::HashMap;
use std::future::pending;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::backend::{Behavior, State, field, read_request, respond};
use crate::feed::Service;

/// Body of a request that crashes every server on which it runs.
pub(crate) const CRASH_BODY: &str = "bad";

/// Body of a request that crashes the servers of the new version only.
pub(crate) const CRASH_NEW_VERSION_BODY: &str = "bad for new";

/// Body of a request that crashes the first `times` servers on which it runs. `name` makes it
/// unique.
pub(crate) fn crash_times_body(times: u32, name: &str) -> String {
    format!("{CRASH_TIMES_PREFIX}{times} {name}")
}

const CRASH_TIMES_PREFIX: &str = "unlucky ";

/// Time from a crash until the registration lapses.
const LAPSE_DELAY: Duration = Duration::from_millis(700);

/// Time from then until the restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Time for which a marked request runs before the crash.
const CRASH_DELAY: Duration = Duration::from_millis(40);

/// Time from a silent crash until the registration lapses.
const SILENT_LAPSE_DELAY: Duration = Duration::from_secs(3);

/// Time after which an attempt to connect gets no response.
const FILL_TIMEOUT: Duration = Duration::from_millis(50);

/// Length of the queue of connections that a server has not accepted.
const ACCEPT_QUEUE: u32 = 16;

/// How a server crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(dead_code, reason = "not used by every test binary")]
pub(crate) enum Crash {
    /// The process ends: its connections are closed, and new ones are refused.
    Process,
    /// The machine goes dark: its connections fall silent, and attempts to connect get no response.
    Silent,
    /// The process ends, and the next instance accepts connections at once.
    QuickRestart,
}

/// How a server crashes and restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Mode {
    pub(crate) crash: Crash,
    pub(crate) name: RestartName,
}

impl From<RestartName> for Mode {
    fn from(name: RestartName) -> Self {
        let crash = Crash::Process;
        Self { crash, name }
    }
}

/// Whether a server restarts under a new name or the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RestartName {
    New,
    Same,
}

/// A server that crashes and restarts.
#[derive(Debug)]
pub(crate) struct CrashingServer {
    pub(crate) state: Arc<State>,
    crashes: Arc<AtomicU32>,
    crash_token: Arc<std::sync::Mutex<CancellationToken>>,
}

/// Number of runs of requests that crash a limited number of servers, by request body.
pub(crate) type CrashCounts = Arc<std::sync::Mutex<HashMap<Vec<u8>, u32>>>;

/// Counts a run of a request, and decides whether it crashes a server of the new or old version.
fn crashes_server(body: &[u8], is_new: bool, crash_counts: &CrashCounts) -> bool {
    let text = std::str::from_utf8(body).unwrap_or("");
    if text == CRASH_NEW_VERSION_BODY {
        return is_new;
    }
    let Some((times, _)) = text
        .strip_prefix(CRASH_TIMES_PREFIX)
        .and_then(|rest| rest.split_once(' '))
    else {
        return text == CRASH_BODY;
    };
    let mut crash_counts = crash_counts.lock().expect("no panic");
    let runs = crash_counts.entry(body.to_vec()).or_default();
    *runs += 1;
    times.parse().is_ok_and(|times| *runs <= times)
}

impl CrashingServer {
    /// Starts a server and registers it in both pools. `crash_counts` is shared by the fleet.
    pub(crate) fn spawn(
        service: &Arc<Service>,
        index: usize,
        mode: Mode,
        behavior: Behavior,
        crash_counts: &CrashCounts,
    ) -> Self {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0)));
        let server = Self {
            state: Arc::new(State::new(behavior)),
            crashes: Arc::default(),
            crash_token: Arc::default(),
        };
        let instance = Instance {
            service: Arc::clone(service),
            address: listener.local_addr().expect("an address"),
            index,
            mode,
            number: 1,
            crash_counts: Arc::clone(crash_counts),
        };
        instance.register();
        let (state, crashes) = (Arc::clone(&server.state), Arc::clone(&server.crashes));
        tokio::spawn(run(
            instance,
            listener,
            state,
            crashes,
            Arc::clone(&server.crash_token),
        ));
        server
    }

    /// Number of crashes.
    pub(crate) fn crash_count(&self) -> u32 {
        self.crashes.load(Ordering::Relaxed)
    }

    /// Crashes the server.
    pub(crate) fn kill(&self) {
        self.crash_token.lock().expect("no panic").cancel();
    }
}

/// Number of crashes of all servers.
pub(crate) fn crash_count(servers: &[CrashingServer]) -> u32 {
    servers.iter().map(CrashingServer::crash_count).sum()
}

/// One instance of a server.
#[derive(Clone)]
struct Instance {
    service: Arc<Service>,
    address: SocketAddr,
    index: usize,
    mode: Mode,
    number: u32,
    crash_counts: CrashCounts,
}

impl Instance {
    fn keys(&self) -> [(&'static str, String); 2] {
        ["plain", "model"].map(|pool| {
            let key = match self.mode.name {
                RestartName::New => format!("servers/{pool}-{}-{}", self.index, self.number),
                RestartName::Same => format!("servers/{pool}-{}", self.index),
            };
            (pool, key)
        })
    }

    /// Whether a request names this instance, or a name that all instances share.
    fn is_addressed(&self, head: &str) -> bool {
        let mut keys = self.keys().into_iter();
        let name = field(head, "x-server").unwrap_or_default();
        keys.any(|(_, key)| key.strip_prefix("servers/") == Some(name))
    }

    /// Whether it runs the new version of the software, as every other server does.
    const fn is_new(&self) -> bool {
        self.index.is_multiple_of(2)
    }

    fn register(&self) {
        let version = if self.is_new() { "new" } else { "old" };
        for (pool, key) in self.keys() {
            let started = match self.mode.name {
                RestartName::New => String::new(),
                RestartName::Same => self.number.to_string(),
            };
            let value = format!("{pool} {} ready {started} version={version}", self.address);
            self.service.set(&key, Some(&value));
        }
    }

    fn lapse(&self) {
        for (_, key) in self.keys() {
            self.service.set(&key, None);
        }
    }

    /// Ends the registration, and starts the next instance some time later.
    async fn restart(&mut self) -> TcpListener {
        self.lapse();
        sleep(RESTART_DELAY).await;
        self.number += 1;
        let listener = listen(self.address);
        self.register();
        listener
    }

    /// Registers the next instance at once. The registration of the earlier one ends later.
    fn restart_at_once(&mut self) {
        let earlier = self.keys();
        self.number += 1;
        self.register();
        if self.mode.name == RestartName::Same {
            return;
        }
        let service = Arc::clone(&self.service);
        tokio::spawn(async move {
            sleep(LAPSE_DELAY).await;
            for (_, key) in earlier {
                service.set(&key, None);
            }
        });
    }
}

async fn run(
    mut instance: Instance,
    mut listener: TcpListener,
    state: Arc<State>,
    crashes: Arc<AtomicU32>,
    crash_token: Arc<std::sync::Mutex<CancellationToken>>,
) {
    loop {
        let crash = CancellationToken::new();
        *crash_token.lock().expect("no panic") = crash.clone();
        let mut conns = JoinSet::new();
        serve(&listener, &mut conns, &state, &instance, &crash).await;
        crashes.fetch_add(1, Ordering::Relaxed);
        listener = match instance.mode.crash {
            Crash::Process => {
                drop((listener, conns));
                sleep(LAPSE_DELAY).await;
                instance.restart().await
            }
            Crash::Silent => {
                let fillers = fill_accept_queue(instance.address).await;
                sleep(SILENT_LAPSE_DELAY).await;
                drop((listener, conns, fillers));
                instance.restart().await
            }
            Crash::QuickRestart => {
                drop(conns);
                instance.restart_at_once();
                listener
            }
        };
    }
}

/// Serves until the crash.
async fn serve(
    listener: &TcpListener,
    conns: &mut JoinSet<()>,
    state: &Arc<State>,
    instance: &Instance,
    crash: &CancellationToken,
) {
    loop {
        tokio::select! {
            () = crash.cancelled() => return,
            Ok((stream, _)) = listener.accept() => {
                let handled = handle(
                    stream,
                    Arc::clone(state),
                    instance.clone(),
                    crash.clone(),
                );
                conns.spawn(run_until_crash(handled, crash.clone()));
            }
        }
    }
}

/// Runs a connection until the crash, after which it is open and silent until it is dropped.
pub(crate) async fn run_until_crash(handled: impl Future<Output = ()>, crash: CancellationToken) {
    let mut handled = pin!(handled);
    tokio::select! {
        () = &mut handled => return,
        () = crash.cancelled() => {}
    }
    pending::<()>().await;
}

/// Listens with a short queue, which can be filled.
pub(crate) fn listen(address: SocketAddr) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("addresses are reusable");
    socket.bind(address).expect("its port");
    socket.listen(ACCEPT_QUEUE).expect("it listens")
}

/// Fills the queue of a listener that accepts nothing, so that further attempts to connect get no
/// response.
pub(crate) async fn fill_accept_queue(address: SocketAddr) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    while let Ok(Ok(stream)) = timeout(FILL_TIMEOUT, TcpStream::connect(address)).await {
        streams.push(stream);
    }
    streams
}

async fn handle(
    mut stream: TcpStream,
    state: Arc<State>,
    instance: Instance,
    crash: CancellationToken,
) {
    while let Some((head, body)) = read_request(&mut stream).await {
        if !instance.is_addressed(&head) {
            let text = "HTTP/1.1 421 Any\r\ncontent-length: 0\r\n\r\n";
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        if crashes_server(&body, instance.is_new(), &instance.crash_counts) {
            let is_stream =
                head.starts_with("post /stream/") || head.starts_with("post /resumable/");
            if is_stream {
                let response_head = "HTTP/1.1 200 OK\r\nx-id: q1\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n";
                // The gateway may have closed the connection.
                let _ = stream.write_all(response_head.as_bytes()).await;
            }
            sleep(CRASH_DELAY).await;
            crash.cancel();
            return pending().await;
        }
        if !respond(&mut stream, &state, &head).await {
            return;
        }
    }
}
