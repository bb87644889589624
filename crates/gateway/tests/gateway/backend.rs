//! Backend servers with scripted behavior.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// How a server handles requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behavior {
    /// Responds with a seal and the body `done`.
    Answer,
    /// Responds with status 500 and a seal.
    Fail,
    /// Responds that the request did not run.
    Reject,
    /// Responds that the request is for another server.
    WrongServer,
    /// Closes the connection without a response.
    Close,
    /// Responds with the ID of another request.
    WrongRequestId,
    /// Responds without a seal.
    Unsealed,
    /// Closes the connection before the declared length of the body.
    Truncate,
    /// Responds with a content encoding.
    Encode,
    /// Sends no response.
    Hang,
    /// Streams events 1 to 4 with pauses, and ends the stream.
    Stream,
    /// As `Stream`, with [`LONG_STREAM_EVENTS`] events.
    #[allow(dead_code, reason = "only used by the cost example")]
    LongStream,
    /// Streams events 1, 2 and half of 3, and closes the connection.
    CutStream,
    /// As `CutStream`, all in one packet.
    CutAtOnce,
    /// Streams events 1 and 2, and then hangs.
    HangStream,
    /// As `Stream`, with a long pause after event 2.
    SlowStream,
    /// As `Stream`, after a pause.
    LateStream,
    /// Responds with a seal and [`LARGE_BODY_BYTES`] bytes.
    Large,
    /// Responds with a seal and [`FLOOD_BYTES`] bytes.
    FloodBody,
    /// Streams [`FLOOD_BYTES`] bytes of events without pauses, and ends the stream.
    Flood,
    /// As `Flood`, without an end.
    EndlessFlood,
}

/// Number of events of a long stream.
pub(crate) const LONG_STREAM_EVENTS: u64 = 40;

/// Length of a large response, in bytes.
pub(crate) const LARGE_BODY_BYTES: usize = 1_000_000;

/// Length of a flood, in bytes. The socket buffers between a server and a caller hold a part of it.
pub(crate) const FLOOD_BYTES: usize = 8_000_000;

/// Length of an event of a flood, in bytes.
const FLOOD_EVENT_BYTES: usize = 16_000;

/// A running server that applies a [`Behavior`] to each request.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) address: SocketAddr,
    pub(crate) state: Arc<State>,
}

/// Behavior of a server, and the requests that it received.
#[derive(Debug)]
pub(crate) struct State {
    behavior: Mutex<Behavior>,
    /// Body of the list of cached prompt parts.
    cached_parts: Mutex<String>,
    /// Additional header lines of each response.
    header_lines: Mutex<String>,
    heads: Mutex<Vec<String>>,
    disconnects: AtomicU32,
    /// Number of floods that were sent completely.
    finished_floods: AtomicU32,
    /// Number of requests for the list of cached prompt parts.
    cached_parts_requests: AtomicU32,
}

impl State {
    pub(crate) fn new(behavior: Behavior) -> Self {
        Self {
            behavior: Mutex::new(behavior),
            cached_parts: Mutex::default(),
            header_lines: Mutex::default(),
            heads: Mutex::default(),
            disconnects: AtomicU32::new(0),
            finished_floods: AtomicU32::new(0),
            cached_parts_requests: AtomicU32::new(0),
        }
    }

    /// Heads of the requests received.
    pub(crate) fn heads(&self) -> Vec<String> {
        self.heads.lock().clone()
    }

    /// Sets the behavior and additional header lines, each terminated by CRLF.
    #[allow(dead_code, reason = "not used by every test binary")]
    pub(crate) fn set_behavior(&self, behavior: Behavior, header_lines: &str) {
        *self.behavior.lock() = behavior;
        header_lines.clone_into(&mut self.header_lines.lock());
    }

    /// Sets the body of the list of cached prompt parts.
    pub(crate) fn set_cached_parts(&self, list: &str) {
        list.clone_into(&mut self.cached_parts.lock());
    }

    /// Number of requests for the list of cached prompt parts.
    #[allow(dead_code, reason = "not used by every test binary")]
    pub(crate) fn cached_parts_requests(&self) -> u32 {
        self.cached_parts_requests.load(Ordering::Relaxed)
    }

    /// Number of requests whose connection was closed before the end of the response.
    pub(crate) fn disconnects(&self) -> u32 {
        self.disconnects.load(Ordering::Relaxed)
    }
}

impl State {
    /// Number of floods that were sent completely.
    #[allow(dead_code, reason = "not used by every test binary")]
    pub(crate) fn finished_floods(&self) -> u32 {
        self.finished_floods.load(Ordering::Relaxed)
    }
}

impl Backend {
    pub(crate) async fn spawn(behavior: Behavior) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(State::new(behavior));
        let shared = Arc::clone(&state);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&shared)));
            }
        });
        Self { address, state }
    }
}

async fn serve(mut stream: TcpStream, state: Arc<State>) {
    while let Some((head, _)) = read_request(&mut stream).await {
        if !respond(&mut stream, &state, &head).await {
            return;
        }
    }
}

/// Reads the head and body of a request with a content length.
pub(crate) async fn read_request(
    stream: &mut (impl AsyncRead + Unpin),
) -> Option<(String, Vec<u8>)> {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        text.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&text).to_ascii_lowercase();
    let length = field(&head, "content-length").and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    Some((head, body))
}

/// Value of a header in a lowercase head.
pub(crate) fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    lines
        .find(|(field, _)| *field == name)
        .map(|(_, value)| value)
}

/// Responds to a request; `false` if the connection is to be closed.
pub(crate) async fn respond(stream: &mut TcpStream, state: &State, head: &str) -> bool {
    if head.starts_with("get /kept ") {
        state.cached_parts_requests.fetch_add(1, Ordering::Relaxed);
        let list = state.cached_parts.lock().clone();
        let text = full_response(200, "x-any: 1", list.len()).replace("done", &list);
        return stream.write_all(text.as_bytes()).await.is_ok();
    }
    let behavior = *state.behavior.lock();
    if head.starts_with("get /health ") && behavior != Behavior::WrongServer {
        let name = field(head, "x-server").unwrap_or_default();
        let text = full_response(200, &format!("x-instance: {name}"), 4);
        return stream.write_all(text.as_bytes()).await.is_ok();
    }
    state.heads.lock().push(head.to_owned());
    let id = field(head, "x-id").unwrap_or("");
    let extra_lines = state.header_lines.lock().clone();
    let sealed = format!("{extra_lines}x-id: {id}\r\nx-seal: s");
    let text = match behavior {
        Behavior::Answer => full_response(200, &sealed, 4),
        Behavior::Fail => full_response(500, &sealed, 4),
        Behavior::Reject => full_response(503, &format!("{extra_lines}x-not-run: 1"), 4),
        Behavior::WrongServer => full_response(421, &format!("{extra_lines}x-any: 1"), 4),
        Behavior::WrongRequestId => {
            full_response(200, &format!("{extra_lines}x-id: another\r\nx-seal: s"), 4)
        }
        Behavior::Unsealed => full_response(200, &format!("{extra_lines}x-id: {id}"), 4),
        Behavior::Encode => full_response(200, &format!("{sealed}\r\ncontent-encoding: gzip"), 4),
        Behavior::Truncate => full_response(200, &sealed, 40),
        Behavior::Close => return false,
        Behavior::Hang => {
            hang(stream, state).await;
            return false;
        }
        Behavior::Stream => return events(stream, &sealed, head, 4).await,
        Behavior::LongStream => return events(stream, &sealed, head, LONG_STREAM_EVENTS).await,
        Behavior::CutStream => {
            events(stream, &sealed, head, 2).await;
            let _ = stream.write_all(b"8\r\nid: 3\nda\r\n").await;
            return false;
        }
        Behavior::CutAtOnce => {
            let text = format!(
                "HTTP/1.1 200 OK\r\n{sealed}\r\ntransfer-encoding: chunked\r\n\r\n\
                 7\r\nid: 1\n\n\r\n7\r\nid: 2\n\n\r\n8\r\nid: 3\nda\r\n"
            );
            let _ = stream.write_all(text.as_bytes()).await;
            return false;
        }
        Behavior::Large => full_response(200, &sealed, LARGE_BODY_BYTES)
            .replace("done", &"x".repeat(LARGE_BODY_BYTES)),
        Behavior::FloodBody => {
            let head = full_response(200, &sealed, FLOOD_BYTES).replace("done", "");
            let _ = stream.write_all(head.as_bytes()).await;
            return flood(stream, state, &"x".repeat(FLOOD_EVENT_BYTES), true).await;
        }
        Behavior::Flood | Behavior::EndlessFlood => {
            let _ = stream.write_all(stream_head(&sealed).as_bytes()).await;
            let text = format!("data: {}\n\n", "x".repeat(FLOOD_EVENT_BYTES - 8));
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            let is_sent = flood(stream, state, &chunk, behavior == Behavior::Flood).await;
            return is_sent && stream.write_all(b"0\r\n\r\n").await.is_ok();
        }
        Behavior::SlowStream => {
            events(stream, &sealed, head, 2).await;
            sleep(Duration::from_millis(600)).await;
            let remaining = "f\r\nid: 3\ndata: a\n\n\r\nf\r\nid: 4\ndata: a\n\n\r\n0\r\n\r\n";
            return stream.write_all(remaining.as_bytes()).await.is_ok();
        }
        Behavior::LateStream => {
            sleep(Duration::from_millis(150)).await;
            return events(stream, &sealed, head, 4).await;
        }
        Behavior::HangStream => {
            events(stream, &sealed, head, 2).await;
            hang(stream, state).await;
            return false;
        }
    };
    let is_sent = stream.write_all(text.as_bytes()).await.is_ok();
    is_sent && behavior != Behavior::Truncate
}

fn full_response(status: u16, header_lines: &str, length: usize) -> String {
    format!("HTTP/1.1 {status} Any\r\n{header_lines}\r\ncontent-length: {length}\r\n\r\ndone")
}

async fn hang(stream: &mut TcpStream, state: &State) {
    let mut byte = [0];
    // Waits for the gateway to close the connection, whatever it sends before.
    while matches!(stream.read(&mut byte).await, Ok(read) if read > 0) {}
    state.disconnects.fetch_add(1, Ordering::Relaxed);
}

fn stream_head(sealed: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\n{sealed}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    )
}

/// Sends a text again and again, up to [`FLOOD_BYTES`] if the flood ends; `false` if the connection
/// is closed before.
async fn flood(stream: &mut TcpStream, state: &State, text: &str, ends: bool) -> bool {
    let mut sent = 0;
    while !ends || sent < FLOOD_BYTES {
        if stream.write_all(text.as_bytes()).await.is_err() {
            state.disconnects.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        sent += FLOOD_EVENT_BYTES;
    }
    state.finished_floods.fetch_add(1, Ordering::Relaxed);
    true
}

/// Sends the events up to `last`. The stream ends only after the fourth event, or the last of a
/// long stream.
async fn events(stream: &mut TcpStream, sealed: &str, head: &str, last: u64) -> bool {
    let after = field(head, "x-after").and_then(|event| event.parse().ok());
    let _ = stream.write_all(stream_head(sealed).as_bytes()).await;
    for event in after.unwrap_or(0) + 1..=last {
        let text = format!("id: {event}\ndata: t{event}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        if stream.write_all(chunk.as_bytes()).await.is_err() {
            return false;
        }
        sleep(Duration::from_millis(20)).await;
    }
    if [4, LONG_STREAM_EVENTS].contains(&last) {
        return stream.write_all(b"0\r\n\r\n").await.is_ok();
    }
    true
}
