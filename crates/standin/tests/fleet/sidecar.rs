//! Sidecar that only serves configuration.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::StreamExt;
use mulberryyoke_model::{Attempt, Change, Incarnation, KeyId, Outcome, Revision};
use mulberryyoke_wire::{
    self as wire, ByteCounter, Interest, Listener, Poll, PollResponse, Withdrawal,
};
use tarpc::context::Context;
use tarpc::server::Channel;

use crate::environment::LOOPBACK;

#[derive(Clone)]
struct ConfigServer(Arc<Vec<Change>>);

/// Serves these changes and returns the control address.
pub async fn serve(changes: Vec<Change>) -> SocketAddr {
    let bytes = Arc::new(ByteCounter::default());
    let listener = Listener::bind(LOOPBACK, bytes).await.unwrap();
    let address = listener.address().unwrap();
    let server = ConfigServer(Arc::new(changes));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let channel = wire::sidecar_channel(stream, listener.bytes());
            let calls = channel.execute(wire::Sidecar::serve(server.clone()));
            tokio::spawn(wire::spawn_calls(calls.boxed()));
        }
    });
    address
}

impl wire::Sidecar for ConfigServer {
    async fn declare(self, _: Context, _: Incarnation, _: bool, _: Vec<Interest>) {}

    async fn poll(self, _: Context, _: Poll) -> PollResponse {
        unreachable!("routers send no polls in these tests")
    }

    async fn decline(self, _: Context, _: Vec<u64>) {}

    async fn withdraw(self, _: Context, _: Attempt, _: Option<KeyId>) -> Withdrawal {
        unreachable!("routers send no withdrawals in these tests")
    }

    async fn outcome(self, _: Context, _: Attempt, _: Option<KeyId>) -> Outcome {
        Outcome::Unknown
    }

    async fn configure(self, _: Context, _: Vec<Change>) -> Revision {
        0
    }

    async fn recall(self, _: Context, _: Incarnation, _: bool, _: Vec<KeyId>) {}

    async fn changes(self, _: Context, since: Revision) -> Vec<Change> {
        let changes = self.0.iter().filter(|change| change.revision > since);
        changes.cloned().collect()
    }
}
