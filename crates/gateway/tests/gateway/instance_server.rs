//! An address at which one server instance after another listens, behind links that delay what it
//! sends and the ends of its connections.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::backend::{field, read_request};

/// Interval between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(10);

/// Events of a whole stream.
pub(crate) const EVENTS: u64 = 4;

/// Events after which a stream halts until it is resumed.
pub(crate) const HALT_AFTER: u64 = 2;

/// Header lines of a request that gets a short answer with a length, and of one that is slow.
pub(crate) const SHORT: &str = "x-short: 1\r\n";
pub(crate) const SLOW: &str = "x-slow: 1\r\n";

/// Header line of a request whose answer begins with [`LARGE_BYTES`].
pub(crate) const LARGE: &str = "x-large: 1\r\n";

/// Number of bytes that the gateway relays rather than buffers.
pub(crate) const LARGE_BYTES: usize = 400_000;

/// Header line of a request whose stream doesn't halt, and whose events are delayed then.
pub(crate) const LATE: &str = "x-late: 1\r\n";

/// Time that a slow request takes.
const SLOW_TIME: Duration = Duration::from_millis(100);

/// Time within which a count is reached.
const COUNT_TIMEOUT: Duration = Duration::from_secs(10);

/// How an instance answers health checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    /// With its name.
    Named,
    /// With the name of the first instance, and with its own start, which is its number.
    Started,
    /// By rejecting them before names are compared, as a full server does.
    Full,
    /// Without anything that names it.
    Unnamed,
    /// Not at all.
    Silent,
}

/// Time by which a link delays what an instance sends.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Delays {
    /// Answers to health checks.
    pub(crate) health: Duration,
    /// Answers that are no streams.
    pub(crate) answers: Duration,
    /// Events of streams that don't halt.
    pub(crate) events: Duration,
    /// Ends of connections that carry no stream.
    pub(crate) ends: Duration,
}

/// Bytes on their way to the gateway.
#[derive(Debug)]
struct Packet {
    due: Instant,
    bytes: Vec<u8>,
    is_event: bool,
}

#[derive(Debug)]
struct State {
    /// Number of the instance; `None` while there is none.
    instance: Mutex<Option<u32>>,
    killed: Mutex<CancellationToken>,
    health: Mutex<Health>,
    delays: Mutex<Delays>,
    /// Cancelled once streams go on after the halt.
    resumed: CancellationToken,
    checks: AtomicU32,
    requests: AtomicU32,
    streams: AtomicU32,
}

/// An address at which one server instance after another listens. The first one has the name that the
/// gateway expects.
#[derive(Debug)]
pub(crate) struct InstanceServer {
    pub(crate) address: SocketAddr,
    state: Arc<State>,
    listener: Mutex<Option<JoinHandle<()>>>,
}

impl InstanceServer {
    /// Starts the first instance.
    pub(crate) async fn spawn() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let server = Self {
            address: listener.local_addr().expect("an address"),
            state: Arc::new(State {
                instance: Mutex::new(Some(0)),
                killed: Mutex::default(),
                health: Mutex::new(Health::Named),
                delays: Mutex::default(),
                resumed: CancellationToken::new(),
                checks: AtomicU32::new(0),
                requests: AtomicU32::new(0),
                streams: AtomicU32::new(0),
            }),
            listener: Mutex::default(),
        };
        server.listen(listener);
        server
    }

    fn listen(&self, listener: TcpListener) {
        let state = Arc::clone(&self.state);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&state)));
            }
        });
        *self.listener.lock() = Some(task);
    }

    /// Kills the instance: its connections end in order, and nothing listens any more.
    pub(crate) async fn kill(&self) {
        let listener = self.listener.lock().take().expect("a listener");
        listener.abort();
        // The address refuses connections once the task is gone.
        let _ = listener.await;
        self.kill_behind_front();
    }

    /// As [`Self::kill`], behind something that accepts connections on.
    pub(crate) fn kill_behind_front(&self) {
        *self.state.instance.lock() = None;
        self.state.killed.lock().cancel();
    }

    /// Starts the next instance, of another name, at the same address.
    pub(crate) async fn start_successor(&self) {
        *self.state.killed.lock() = CancellationToken::new();
        *self.state.instance.lock() = Some(1);
        let is_listening = self.listener.lock().is_some();
        if !is_listening {
            let listener = TcpListener::bind(self.address).await;
            self.listen(listener.expect("the address is free"));
        }
    }

    /// Lets streams go on from the halt to their last event.
    pub(crate) fn resume_streams(&self) {
        self.state.resumed.cancel();
    }

    /// Sets how health checks are answered.
    pub(crate) fn set_health(&self, health: Health) {
        *self.state.health.lock() = health;
    }

    /// Sets the delays of what is sent from now on.
    pub(crate) fn set_delays(&self, delays: Delays) {
        *self.state.delays.lock() = delays;
    }

    /// Number of health checks received.
    pub(crate) fn checks(&self) -> u32 {
        self.state.checks.load(Ordering::Relaxed)
    }

    /// Number of other requests received.
    pub(crate) fn requests(&self) -> u32 {
        self.state.requests.load(Ordering::Relaxed)
    }

    /// Waits until this many streams halt.
    pub(crate) async fn wait_for_streams(&self, count: u32) {
        wait_for(&self.state.streams, count).await;
    }

    /// Waits until this many health checks have been received.
    pub(crate) async fn wait_for_checks(&self, count: u32) {
        wait_for(&self.state.checks, count).await;
    }

    /// Waits until this many other requests have been received.
    pub(crate) async fn wait_for_requests(&self, count: u32) {
        wait_for(&self.state.requests, count).await;
    }
}

async fn wait_for(counter: &AtomicU32, count: u32) {
    let until = Instant::now() + COUNT_TIMEOUT;
    while counter.load(Ordering::Relaxed) < count {
        assert!(Instant::now() < until, "{count} were expected");
        sleep(Duration::from_millis(1)).await;
    }
}

/// Serves a connection for the instance that runs when it is accepted.
async fn serve(stream: TcpStream, state: Arc<State>) {
    let _ = stream.set_nodelay(true);
    let Some(instance) = *state.instance.lock() else {
        // Something in front of the server holds the connection.
        return pending().await;
    };
    let killed = state.killed.lock().clone();
    let (mut reader, writer) = stream.into_split();
    let (sender, link) = unbounded_channel();
    let carried = tokio::spawn(carry(link, writer, Arc::clone(&state)));
    let handled = async {
        while let Some((head, _)) = read_request(&mut reader).await {
            if !respond(&state, instance, &head, &sender).await {
                return;
            }
        }
    };
    tokio::select! {
        () = handled => {}
        () = killed.cancelled() => {}
    }
    drop(sender);
    let _ = carried.await;
}

/// Carries packets to the gateway, and at last the end of the connection.
async fn carry(mut link: UnboundedReceiver<Packet>, mut writer: OwnedWriteHalf, state: Arc<State>) {
    let mut is_stream = false;
    while let Some(packet) = link.recv().await {
        sleep_until(packet.due).await;
        is_stream = packet.is_event;
        if writer.write_all(&packet.bytes).await.is_err() {
            return;
        }
    }
    if !is_stream {
        let delay = state.delays.lock().ends;
        sleep(delay).await;
    }
    let _ = writer.shutdown().await;
}

/// Responds to a request; `false` if the connection is to be closed.
async fn respond(state: &State, instance: u32, head: &str, link: &UnboundedSender<Packet>) -> bool {
    let delays = *state.delays.lock();
    let expected = field(head, "x-server").unwrap_or_default();
    if head.starts_with("get /health ") {
        state.checks.fetch_add(1, Ordering::Relaxed);
        let name = if instance == 0 { expected } else { "another" };
        let health = *state.health.lock();
        let (status, name_line) = match health {
            Health::Named => (200, format!("x-instance: {name}\r\n")),
            Health::Started => (200, format!("x-instance: {expected}\r\n")),
            Health::Full => (503, "x-not-run: 1\r\n".to_owned()),
            Health::Unnamed => (200, String::new()),
            Health::Silent => return pending().await,
        };
        let body = format!("started {instance}");
        send(link, delays.health, &with_body(status, &name_line, &body));
        return true;
    }
    if head.starts_with("get /kept ") {
        send(link, Duration::ZERO, &with_length(404, ""));
        return true;
    }
    let id = field(head, "x-id").unwrap_or_default();
    if instance != 0 {
        send(
            link,
            delays.answers,
            &with_length(421, &format!("x-id: {id}\r\n")),
        );
        return true;
    }
    state.requests.fetch_add(1, Ordering::Relaxed);
    let sealed = format!("x-id: {id}\r\nx-seal: s\r\n");
    if head.contains("x-slow: ") {
        sleep(SLOW_TIME).await;
    }
    if head.contains("x-short: ") {
        send(link, delays.answers, &with_length(200, &sealed));
        return true;
    }
    send_event(link, Duration::ZERO, &ok_head(&sealed));
    if head.contains("x-large: ") {
        send_event(link, Duration::ZERO, &("x".repeat(LARGE_BYTES) + "\n"));
    }
    send_events(state, head.contains("x-late: "), link).await
}

/// Head of an answer without a length or chunks, which ends with its connection.
fn ok_head(sealed: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{sealed}\r\n")
}

/// Sends the events of a stream and closes the connection.
async fn send_events(state: &State, is_late: bool, link: &UnboundedSender<Packet>) -> bool {
    for event in 1..=EVENTS {
        let mut delay = Duration::ZERO;
        if is_late {
            delay = state.delays.lock().events;
        } else if event > HALT_AFTER {
            state.resumed.cancelled().await;
        }
        send_event(link, delay, &format!("id: {event}\ndata: t{event}\n\n"));
        sleep(EVENT_INTERVAL).await;
        if event == HALT_AFTER {
            state.streams.fetch_add(1, Ordering::Relaxed);
        }
    }
    false
}

fn with_length(status: u16, header_lines: &str) -> String {
    with_body(status, header_lines, "id: 1\ndata: t1\n\n")
}

fn with_body(status: u16, header_lines: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} Any\r\n{header_lines}content-length: {length}\r\n\r\n{body}")
}

fn send(link: &UnboundedSender<Packet>, delay: Duration, text: &str) {
    send_packet(link, delay, text, false);
}

fn send_event(link: &UnboundedSender<Packet>, delay: Duration, text: &str) {
    send_packet(link, delay, text, true);
}

fn send_packet(link: &UnboundedSender<Packet>, delay: Duration, text: &str, is_event: bool) {
    let packet = Packet {
        due: Instant::now() + delay,
        bytes: text.as_bytes().to_vec(),
        is_event,
    };
    // The connection may have been closed.
    let _ = link.send(packet);
}
