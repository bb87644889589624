//! A plain service whose calls are not idempotent. It counts the runs of each call.

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
    /// Starts a service whose calls take `latency` and cost `cost` tokens.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn bind(address: SocketAddr, latency: Duration, cost: u32) -> io::Result<Self> {
        let journal = Arc::new(Journal::default());
        let shared = Arc::clone(&journal);
        let handler = move |request| respond(request, Arc::clone(&shared), latency, cost);
        let server = Server::bind(address, handler).await?;
        Ok(Self { server, journal })
    }

    /// Address on which it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Record of the calls that the service ran.
    #[must_use]
    pub fn journal(&self) -> &Journal {
        &self.journal
    }
}

async fn respond(
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
        Err(response) => return *response,
    };
    let Some(op) = body["op"].as_str() else {
        return http::error(StatusCode::BAD_REQUEST, "field op is missing");
    };
    // Spawned so that the call completes even if the caller disconnects.
    let run = tokio::spawn(run(journal, op.to_owned(), latency, cost));
    let run_count = run.await.unwrap_or_default();
    let path = request.uri().path();
    http::json(
        StatusCode::OK,
        &json!({"op": op, "path": path, "ran": run_count}),
    )
}

/// Runs a call and returns how often it has run, including this time.
async fn run(journal: Arc<Journal>, op: String, latency: Duration, cost: u32) -> usize {
    let index = journal.record_arrival(&op);
    journal.record_start(index);
    tokio::time::sleep(latency).await;
    journal.record_tokens(index, cost);
    journal.record_end(index, Stage::Complete);
    journal.runs().iter().filter(|run| run.op == op).count()
}
