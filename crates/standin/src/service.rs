//! A plain service whose calls may not be repeated: it counts how often each ran.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, StatusCode};
use serde_json::json;

use crate::http::{self, Response, Server};
use crate::journal::{Journal, Stage};

/// A running plain service.
#[derive(Debug)]
pub struct Service {
    server: Server,
    journal: Arc<Journal>,
}

impl Service {
    /// Binds a service whose calls take `latency` and count as `cost` tokens.
    ///
    /// # Errors
    ///
    /// What the operating system says when the address cannot be bound.
    pub async fn bind(address: SocketAddr, latency: Duration, cost: u32) -> io::Result<Self> {
        let journal = Arc::new(Journal::default());
        let shared = Arc::clone(&journal);
        let handler = move |request| answer(request, Arc::clone(&shared), latency, cost);
        let server = Server::bind(address, handler).await?;
        Ok(Self { server, journal })
    }

    /// The bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// What it ran.
    #[must_use]
    pub fn journal(&self) -> &Journal {
        &self.journal
    }
}

async fn answer(
    request: Request<Bytes>,
    journal: Arc<Journal>,
    latency: Duration,
    cost: u32,
) -> Response {
    match request.uri().path() {
        "/runs" => return http::json(StatusCode::OK, &journal.runs()),
        "/stats" => return http::json(StatusCode::OK, &journal.customer_stats()),
        _ => {}
    }
    let body = match http::parse_json(&request) {
        Ok(body) => body,
        Err(refusal) => return *refusal,
    };
    let Some(op) = body["op"].as_str() else {
        return http::error(StatusCode::BAD_REQUEST, "field op is missing");
    };
    // Runs on a task of its own: a call has its effect though its caller is gone.
    let run = tokio::spawn(run(journal, op.to_owned(), latency, cost));
    let ran = run.await.unwrap_or_default();
    let path = request.uri().path();
    http::json(StatusCode::OK, &json!({"op": op, "path": path, "ran": ran}))
}

/// Runs a call; returns how often its identity has run, this time included.
async fn run(journal: Arc<Journal>, op: String, latency: Duration, cost: u32) -> usize {
    let index = journal.arrive(&op);
    journal.start(index);
    tokio::time::sleep(latency).await;
    journal.add(index, cost);
    journal.end(index, Stage::Complete);
    journal.runs().iter().filter(|run| run.op == op).count()
}
