//! Servers that send scripted bytes, whole or without end.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::backend::{field, read_request};

/// Interval between parts of an answer, and between repeated bytes.
const PART_INTERVAL: Duration = Duration::from_millis(2);

/// Time between the last part and a reset, in which it is read.
const RESET_DELAY: Duration = Duration::from_millis(50);

/// How a server ends an answer.
#[derive(Clone, Debug)]
pub(crate) enum End {
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Keeps the connection open.
    Keep,
    /// Crashes: closes all connections and accepts no more.
    Crash,
    /// Repeats these bytes until the connection is closed.
    Endless(Vec<u8>),
}

/// How the end of a body is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    Length,
    Chunks,
    Neither,
}

pub(crate) const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::Neither];

/// Returns the script of an answer of `whole`, of which only `sent` bytes are sent.
pub(crate) fn script(framing: Framing, whole: &[u8], sent: usize, end: End) -> Script {
    let part = &whole[..sent];
    let is_whole = sent == whole.len();
    let header = match framing {
        Framing::Length => format!("content-length: {}\r\n", whole.len()),
        Framing::Chunks => "transfer-encoding: chunked\r\n".to_owned(),
        Framing::Neither => String::new(),
    };
    let head = format!("HTTP/1.1 200 OK\r\nx-id: q1\r\nx-seal: s\r\n{header}\r\n");
    let mut parts = vec![head.into_bytes()];
    if framing == Framing::Chunks {
        if !part.is_empty() {
            let chunk = [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
            parts.push(chunk);
        }
        if is_whole {
            parts.push(b"0\r\n\r\n".to_vec());
        }
    } else {
        parts.push(part.to_vec());
    }
    Script { parts, end }
}

/// Bytes that a server sends for a request.
#[derive(Clone, Debug)]
pub(crate) struct Script {
    pub(crate) parts: Vec<Vec<u8>>,
    pub(crate) end: End,
}

impl Script {
    /// A complete response without a body that the list does not exist.
    fn not_found() -> Self {
        Self {
            parts: vec![b"HTTP/1.1 404 Any\r\ncontent-length: 0\r\n\r\n".to_vec()],
            end: End::Keep,
        }
    }
}

/// Requests that a server received, and what became of its answers.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    requests: AtomicU64,
    bytes: AtomicU64,
    closed: AtomicU64,
    crashed: Notify,
}

/// A running server that sends a [`Script`] for each request.
#[derive(Debug)]
pub(crate) struct ShapedServer {
    pub(crate) address: SocketAddr,
    counters: Arc<Counters>,
}

impl ShapedServer {
    pub(crate) async fn spawn(script: Script) -> Self {
        Self::spawn_with_list(script, Script::not_found()).await
    }

    /// As [`ShapedServer::spawn`], with another script for requests for the list of cached prompt
    /// parts.
    pub(crate) async fn spawn_with_list(script: Script, list: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let counters = Arc::new(Counters::default());
        let shared = Arc::clone(&counters);
        tokio::spawn(async move {
            // All connections end with this task.
            let mut connections = JoinSet::new();
            loop {
                let stream = tokio::select! {
                    biased;
                    () = shared.crashed.notified() => return,
                    accepted = listener.accept() => accepted.expect("a connection").0,
                };
                let scripts = (script.clone(), list.clone());
                connections.spawn(serve(stream, scripts, Arc::clone(&shared)));
            }
        });
        Self { address, counters }
    }

    /// Number of requests received.
    pub(crate) fn requests(&self) -> u64 {
        self.counters.requests.load(Ordering::Relaxed)
    }

    /// Number of repeated bytes that were sent.
    pub(crate) fn bytes(&self) -> u64 {
        self.counters.bytes.load(Ordering::Relaxed)
    }

    /// Number of endless answers whose connection was closed.
    pub(crate) fn closed(&self) -> u64 {
        self.counters.closed.load(Ordering::Relaxed)
    }
}

async fn serve(mut stream: TcpStream, (answer, list): (Script, Script), counters: Arc<Counters>) {
    let _ = stream.set_nodelay(true);
    while let Some((head, _)) = read_request(&mut stream).await {
        if head.starts_with("get /health ") {
            if stream.write_all(health(&head).as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        let is_list = head.starts_with("get /kept ");
        let script = if is_list { &list } else { &answer };
        let requests = u64::from(!is_list);
        counters.requests.fetch_add(requests, Ordering::Relaxed);
        for part in &script.parts {
            if stream.write_all(part).await.is_err() {
                return;
            }
            sleep(PART_INTERVAL).await;
        }
        match &script.end {
            End::Close => return,
            End::Reset => {
                sleep(RESET_DELAY).await;
                let _ = stream.set_zero_linger();
                return;
            }
            End::Keep => {}
            End::Crash => {
                counters.crashed.notify_one();
                return pending().await;
            }
            End::Endless(bytes) => return repeat(&mut stream, bytes, &counters).await,
        }
    }
}

/// Returns the answer to a health check, by the instance that it names.
fn health(head: &str) -> String {
    let name = field(head, "x-server").unwrap_or_default();
    format!("HTTP/1.1 200 Any\r\nx-instance: {name}\r\ncontent-length: 0\r\n\r\n")
}

/// Sends the bytes again and again until the peer closes the connection.
async fn repeat(stream: &mut TcpStream, bytes: &[u8], counters: &Counters) {
    let (mut reader, mut writer) = stream.split();
    let write = async {
        while writer.write_all(bytes).await.is_ok() {
            counters
                .bytes
                .fetch_add(bytes.len() as u64, Ordering::Relaxed);
            sleep(PART_INTERVAL).await;
        }
    };
    let mut byte = [0];
    let closed = async { while matches!(reader.read(&mut byte).await, Ok(read) if read > 0) {} };
    tokio::select! {
        () = write => {}
        () = closed => {}
    }
    counters.closed.fetch_add(1, Ordering::Relaxed);
}
