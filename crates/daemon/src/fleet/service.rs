//! Server side of the calls between routers.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use mulberryyoke_model::{Attempt, Change, KeyId, Millis, Outcome, Relation, Revision, ServerId};
use mulberryyoke_wire::{self as wire, Listener, Router, Summary};
use tarpc::context::Context;
use tarpc::server::Channel;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::Fleet;
use super::message::inverse;
use super::peer::instance;

/// Pause after a failed accept, in milliseconds: the process may be out of file
/// descriptors.
const ACCEPT_PAUSE_MS: u64 = 50;

/// Accepts connections until stopped.
pub(super) async fn accept(fleet: Arc<Fleet>, listener: Listener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            continue;
        };
        fleet.spawn_task(serve_connection(Arc::clone(&fleet), stream));
    }
}

async fn serve_connection(fleet: Arc<Fleet>, stream: TcpStream) {
    let channel = wire::router_channel(stream, Arc::clone(&fleet.bytes));
    let calls = channel.execute(Service(fleet).serve());
    wire::spawn_calls(calls.boxed()).await;
}

#[derive(Clone)]
struct Service(Arc<Fleet>);

impl Router for Service {
    async fn exchange(self, _: Context, summary: Summary) -> Summary {
        let fleet = self.0;
        let from = instance(&summary.from);
        let caller_relation = summary.statement.as_ref().map(|s| s.relation);
        fleet.receive(&summary);
        let Some(caller_relation) = caller_relation else {
            return fleet.summary(None, Relation::Peer);
        };
        let relation = inverse(caller_relation);
        let statement = fleet.reply_statement(from, relation);
        fleet.summary(statement, relation)
    }

    async fn changes(self, _: Context, since: Revision) -> Vec<Change> {
        self.0.changes_since(since)
    }

    async fn outcome(self, _: Context, attempt: Attempt) -> Outcome {
        self.0.local_outcome(attempt).await
    }

    async fn keys(self, _: Context, server: ServerId, since: Millis) -> (Millis, Vec<KeyId>) {
        match self.0.local_requests.get() {
            Some(requests) => requests.keys(server, since),
            None => (Millis::MAX, Vec::new()),
        }
    }
}
