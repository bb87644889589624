//! HTTP client of the gateway's tests.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, timeout};

/// Time limit for a response.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Delay after which a connection that was reset is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Receive buffer of a slow caller, in bytes.
const SLOW_BUFFER_BYTES: u32 = 16 << 10;

/// A response, possibly incomplete.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
    /// Whether the whole body was received.
    pub(crate) is_complete: bool,
}

/// Formats a request that closes its connection.
pub(crate) fn request(path: &str, header_lines: &str) -> String {
    request_with_body(path, header_lines, "hi")
}

/// Like [`request`], with a body.
pub(crate) fn request_with_body(path: &str, header_lines: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: host.example\r\nx-id: q1\r\nConnection: close\r\n{header_lines}Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Sends a request and reads to the end of the connection.
pub(crate) async fn send(gateway: SocketAddr, request: &str) -> Response {
    let mut stream = open(gateway, request).await;
    let mut bytes = Vec::new();
    // A reset is not an error: the data received before it is evaluated.
    let _ = timeout(TIMEOUT, stream.read_to_end(&mut bytes))
        .await
        .expect("the connection ends in time");
    parse(&bytes)
}

/// Sends a request whose response ends with the connection, as one of HTTP/1.0 may. It is incomplete
/// if the connection is reset.
#[allow(dead_code, reason = "not used by every test binary")]
pub(crate) async fn send_until_closed(gateway: SocketAddr, request: &str) -> Response {
    let mut stream = open(gateway, request).await;
    let mut bytes = Vec::new();
    let read = timeout(TIMEOUT, stream.read_to_end(&mut bytes)).await;
    let is_closed = read.expect("the connection ends in time").is_ok();
    let response = parse(&bytes);
    let has_length = response.head.contains("content-length: ");
    Response {
        is_complete: is_closed && (!has_length || response.is_complete),
        ..response
    }
}

/// Sends a request without reading the response.
pub(crate) async fn open(gateway: SocketAddr, request: &str) -> TcpStream {
    let mut stream = connect(gateway).await;
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the gateway reads");
    stream
}

/// Opens a connection. A gateway resets or refuses it while the machine is so busy that the gateway
/// counts as overloaded, and accepts it some time later.
async fn connect(gateway: SocketAddr) -> TcpStream {
    let until = Instant::now() + TIMEOUT;
    loop {
        match TcpStream::connect(gateway).await {
            Ok(stream) => return stream,
            Err(error) => {
                let is_overloaded = matches!(
                    error.kind(),
                    ErrorKind::ConnectionReset | ErrorKind::ConnectionRefused
                );
                assert!(
                    is_overloaded && Instant::now() < until,
                    "could not connect: {error}"
                );
            }
        }
        sleep(RECONNECT_DELAY).await;
    }
}

/// As [`open`], with a small receive buffer, for callers that stop reading.
#[allow(dead_code, reason = "not used by every test binary")]
pub(crate) async fn open_slow(gateway: SocketAddr, request: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(SLOW_BUFFER_BYTES)
        .expect("a small buffer is allowed");
    let mut stream = socket.connect(gateway).await.expect("the gateway listens");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the gateway reads");
    stream
}

/// Reads to the end of a connection.
#[allow(dead_code, reason = "not used by every test binary")]
pub(crate) async fn read_to_end(stream: &mut TcpStream) -> Response {
    let mut bytes = Vec::new();
    // A reset is not an error: the data received before it is evaluated.
    let _ = timeout(TIMEOUT, stream.read_to_end(&mut bytes))
        .await
        .expect("the connection ends in time");
    parse(&bytes)
}

/// Parses a response.
pub(crate) fn parse(bytes: &[u8]) -> Response {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let head = head.to_ascii_lowercase();
    let length: Option<usize> = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .and_then(|length| length.parse().ok());
    let is_complete = match length {
        Some(length) => body.len() == length,
        None => body.ends_with("0\r\n\r\n"),
    };
    Response {
        status: status.unwrap_or(0),
        head: head.clone(),
        body: body.to_owned(),
        is_complete,
    }
}
