//! Callers that try a stream several times, and resume it after it broke off.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout_at};

use crate::backend::field;
use crate::caller::{Response, parse};
use crate::protocol::RESUMABLE_PREFIX;

/// Number of attempts of a caller to begin a stream, or to resume it.
const ATTEMPTS: u32 = 3;

/// Time within which a caller wants its first event, or its next one.
const PATIENCE: Duration = Duration::from_secs(2);

/// Pause of a caller that is not told when to come back.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Deadline that a caller states for an attempt, in milliseconds: longer than a stream takes with
/// its wait, so that only a server's end breaks it off.
const DEADLINE_MS: u32 = 4_000;

/// Prompt tokens of a stream.
const TOKENS: u32 = 100;

/// A stream that a caller wants, from an event on.
#[derive(Clone, Debug)]
pub(crate) struct Stream {
    /// Key of its customer.
    pub(crate) key: &'static str,
    /// ID without the number of the attempt, and body of all attempts.
    pub(crate) name: String,
    /// The attempt that brought the first event.
    pub(crate) first: Option<String>,
    /// The last event that the caller has.
    pub(crate) after: u64,
}

impl Stream {
    /// A new stream.
    pub(crate) fn new(name: String, key: &'static str) -> Self {
        Self {
            key,
            name,
            first: None,
            after: 0,
        }
    }

    fn request(&self, id: &str) -> String {
        let resumes = self.first.as_ref().map_or(String::new(), |first| {
            format!("x-after: {}\r\nx-first-attempt: {first}\r\n", self.after)
        });
        format!(
            "POST {RESUMABLE_PREFIX} HTTP/1.1\r\nHost: host.example\r\nx-id: {id}\r\n\
             Authorization: Bearer {}\r\nx-tokens: {TOKENS}\r\nx-patience-ms: {DEADLINE_MS}\r\n\
             Connection: close\r\n{resumes}Content-Length: {}\r\n\r\n{}",
            self.key,
            self.name.len(),
            self.name
        )
    }
}

/// How a stream went, over all attempts to begin it, or to resume it once.
#[derive(Clone, Debug, Default)]
pub(crate) struct Result {
    /// Whether an event arrived.
    pub(crate) is_begun: bool,
    /// Whether the stream ended as it should.
    pub(crate) is_complete: bool,
    /// The refusals.
    pub(crate) refusals: Vec<String>,
    /// The stream as the caller has it now.
    pub(crate) stream: Option<Stream>,
}

/// Begins or resumes a stream at one gateway after another, and reads it to its end.
pub(crate) async fn run(gateways: &[SocketAddr], first: usize, stream: Stream) -> Result {
    let until = Instant::now() + PATIENCE;
    let mut result = Result::default();
    let kind = if stream.first.is_some() { "r" } else { "n" };
    for attempt in 0..ATTEMPTS {
        let gateway = gateways[(first + attempt as usize) % gateways.len()];
        let id = format!("{}-{kind}{attempt}", stream.name);
        let response = read(gateway, &stream.request(&id), until).await;
        let last = response.body.lines().rev();
        let last = last.filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
        if let Some(last) = last.max() {
            result.is_begun = true;
            result.is_complete = response.is_complete;
            result.stream = Some(Stream {
                key: stream.key,
                first: stream.first.clone().or(Some(id)),
                after: last,
                name: stream.name,
            });
            return result;
        }
        let text = format!("{} {}", response.status, response.body.trim());
        result.refusals.push(text);
        let retry = field(&response.head, "retry-after").and_then(|text| text.parse().ok());
        let at = Instant::now() + retry.map_or(RETRY_PAUSE, Duration::from_secs_f64);
        if at >= until {
            break;
        }
        sleep(at - Instant::now()).await;
    }
    result
}

/// Sends a request and reads the response, unless its first bytes come too late. A gateway that
/// counts as overloaded accepts no connection; the next attempt reaches another.
async fn read(gateway: SocketAddr, request: &str, until: Instant) -> Response {
    let Ok(mut stream) = TcpStream::connect(gateway).await else {
        return parse(b"");
    };
    if stream.write_all(request.as_bytes()).await.is_err() {
        return parse(b"");
    }
    let mut bytes = vec![0; 1_024];
    let begins = timeout_at(until, stream.read(&mut bytes)).await;
    let Ok(Ok(length)) = begins else {
        return parse(b"");
    };
    bytes.truncate(length);
    // A reset is not an error: the data received before it is evaluated.
    let _ = stream.read_to_end(&mut bytes).await;
    parse(&bytes)
}
