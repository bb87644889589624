//! A gateway with a server whose instances are killed and replaced.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::net::TcpStream;

use crate::caller::{self, Response};
use crate::feed::Service;
use crate::fleet::{Node, ready_at};
use crate::instance_server::{EVENTS, HALT_AFTER, InstanceServer, SHORT, SLOW};

pub(super) const PROMPT: &str = "x-tokens: 100\r\n";

/// Delays of packets, in milliseconds, as of those that are lost and sent again.
pub(super) const DELAYS_MS: [u64; 4] = [50, 200, 400, 1_000];

/// Times from the end of an instance to the start of its successor, in milliseconds.
pub(super) const RESTARTS_MS: [u64; 5] = [0, 5, 30, 90, 130];

/// Maximum time between the proof and the end of a stream.
pub(super) const MAX_END_DELAY: Duration = Duration::from_millis(300);

/// Time from the begin of a shutdown to a moment shortly before requests are refused.
pub(super) const BEFORE_REFUSAL: Duration = Duration::from_millis(2_200);

/// Time from then to a moment shortly before the end of the grace period.
pub(super) const UNTIL_TERMINATION: Duration = Duration::from_millis(2_400);

/// Time within which a change is applied.
pub(super) const PROPAGATION: Duration = Duration::from_millis(900);

/// Number of streams that end at the same time.
pub(super) const MANY: u32 = 6;

/// Returns the IDs of the received events.
pub(super) fn event_ids(response: &Response) -> Vec<u64> {
    let lines = response.body.lines();
    let ids = lines.filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}

pub(super) fn ids(last: u64) -> Vec<u64> {
    (1..=last).collect()
}

/// A gateway with a server whose streams halt.
pub(super) struct Fixture {
    pub(super) server: InstanceServer,
    pub(super) node: Node,
    pub(super) service: Arc<Service>,
}

impl Fixture {
    pub(super) async fn spawn() -> Self {
        let server = InstanceServer::spawn().await;
        let (service, node) = ready_at(&[server.address], None).await;
        Self {
            server,
            node,
            service,
        }
    }

    /// Begins the first stream, and waits until it halts.
    pub(super) async fn begin(&self) -> TcpStream {
        let request = caller::request("/stream/", PROMPT);
        let stream = caller::open(self.node.callers, &request).await;
        self.server.wait_for_streams(1).await;
        stream
    }

    /// Sends a request that gets a short answer and leaves an idle connection to the server.
    pub(super) async fn send_short(&self) -> Response {
        self.node
            .send("/stream/", &(PROMPT.to_owned() + SHORT))
            .await
    }

    /// As [`Self::send_short`], for a request that the server answers after a time.
    pub(super) async fn send_slow(&self) -> Response {
        let lines = PROMPT.to_owned() + SHORT + SLOW;
        self.node.send("/stream/", &lines).await
    }
}

pub(super) fn expect_broken(response: &Response, name: &str) {
    expect_that!(event_ids(response), eq(&ids(HALT_AFTER)), "{name}");
    expect_that!(response.is_complete, eq(false), "{name}");
}

pub(super) fn expect_whole(response: &Response, name: &str) {
    expect_that!(event_ids(response), eq(&ids(EVENTS)), "{name}");
    expect_that!(response.is_complete, eq(true), "{name}");
}
