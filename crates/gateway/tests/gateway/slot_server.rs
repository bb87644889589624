//! Model servers that run a limited number of streams at a time, and queue the others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::backend::{field, read_request};

/// Number of streams that run at a time, as the configuration of the tests states.
const SLOTS: usize = 8;

/// Number of events of a stream.
const EVENTS: u64 = 10;

/// Pause before each event.
const PAUSE: Duration = Duration::from_millis(80);

/// A running server. Its process ends when it is dropped.
#[derive(Debug)]
pub(crate) struct SlotServer {
    pub(crate) address: SocketAddr,
    end: CancellationToken,
}

impl SlotServer {
    pub(crate) async fn spawn() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let end = CancellationToken::new();
        let (ended, slots) = (end.clone(), Arc::new(Semaphore::new(SLOTS)));
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    () = ended.cancelled() => return,
                    accepted = listener.accept() => accepted,
                };
                let Ok((stream, _)) = accepted else { continue };
                let (ended, slots) = (ended.clone(), Arc::clone(&slots));
                tokio::spawn(async move {
                    tokio::select! {
                        () = ended.cancelled() => {}
                        () = serve(stream, &slots) => {}
                    }
                });
            }
        });
        Self { address, end }
    }

    /// Ends the process: its connections are closed, and new ones are refused.
    pub(crate) fn kill(&self) {
        self.end.cancel();
    }
}

impl Drop for SlotServer {
    fn drop(&mut self) {
        self.kill();
    }
}

async fn serve(mut stream: TcpStream, slots: &Semaphore) {
    while let Some((head, _)) = read_request(&mut stream).await {
        let permit = tokio::select! {
            permit = slots.acquire() => permit,
            // The gateway closes the connection.
            _ = stream.read_u8() => return,
        };
        let Ok(_permit) = permit else { return };
        if !respond(&mut stream, &head).await {
            return;
        }
    }
}

/// Streams the events after the one that the caller has; `false` if the connection is closed.
async fn respond(stream: &mut TcpStream, head: &str) -> bool {
    let id = field(head, "x-id").unwrap_or_default();
    let after = field(head, "x-after").and_then(|event| event.parse().ok());
    let response_head = format!(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    if stream.write_all(response_head.as_bytes()).await.is_err() {
        return false;
    }
    for event in after.unwrap_or(0) + 1..=EVENTS {
        sleep(PAUSE).await;
        let text = format!("id: {event}\ndata: t\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        if stream.write_all(chunk.as_bytes()).await.is_err() {
            return false;
        }
    }
    stream.write_all(b"0\r\n\r\n").await.is_ok()
}
