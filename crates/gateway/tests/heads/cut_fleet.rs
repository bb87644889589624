//! Servers that cut their answers, a gateway, and callers that check what they get.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::{StreamExt, stream};
use tokio::time::sleep;

use crate::caller::{self, Response};
use crate::feed::Service;
use crate::fleet::{Node, ready_at};
use crate::planned_answer::LAST_EVENT;
use crate::planned_server::{self, Cut, Runs, SHAPES, Step, plan};

/// Number of servers of a gateway.
const SERVERS: usize = 4;

/// Number of requests that run at the same time. Budgets of retries hold no more than five.
const CONCURRENCY: usize = 4;

/// Delay after which a request that was refused is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of times that a request is refused because the machine is busy.
const MAX_REFUSALS: usize = 40;

/// What the caller gets in place of the answer that is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expected {
    /// A failure that does not promise that the request has not run.
    Failure,
    /// The whole answer of another run.
    Retry,
    /// The beginning of a stream, which is broken off.
    Broken,
}

/// A route, what its callers send, and what they get.
pub(crate) type Kind = (&'static str, &'static str, Expected);

/// A request whose runs go as planned.
#[derive(Clone, Debug)]
pub(crate) struct Case {
    pub(crate) kind: Kind,
    pub(crate) steps: Vec<Step>,
}

/// How a caller speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Dialect {
    /// HTTP/1.1 with `Connection: close`.
    Close,
    /// HTTP/1.0.
    Old,
}

/// On which connections answers are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// New ones.
    Never,
    /// Mostly ones that have carried a whole answer.
    Mostly,
}

/// One case for each head, and each number of its bytes from `first` in steps, with the steps of the
/// plan around the cut.
pub(crate) fn cases(kinds: &[Kind], cut: Cut, (first, step): (usize, usize)) -> Vec<Case> {
    let heads = |kind: Kind| {
        let cuts = SHAPES.into_iter().flat_map(move |shape| {
            let sent = (first..shape.1.len()).step_by(step);
            sent.map(move |sent| Step::Head(shape, sent, cut))
        });
        cuts.map(move |cut| Case {
            kind,
            steps: vec![cut],
        })
    };
    kinds.iter().flat_map(|kind| heads(*kind)).collect()
}

/// Servers and a gateway.
pub(crate) struct Fleet {
    pub(crate) runs: Arc<Runs>,
    callers: SocketAddr,
    _node: Option<Node>,
    _service: Option<Arc<Service>>,
    sent: AtomicU64,
}

impl Fleet {
    pub(crate) async fn new() -> Self {
        let (addresses, runs) = planned_server::spawn(SERVERS).await;
        let (service, node) = ready_at(&addresses, None).await;
        Self {
            callers: node.callers,
            _node: Some(node),
            _service: Some(service),
            ..Self::at(SocketAddr::from(([127, 0, 0, 1], 0)), runs)
        }
    }

    /// Callers of a gateway whose servers are planned ones.
    pub(crate) fn at(callers: SocketAddr, runs: Arc<Runs>) -> Self {
        Self {
            runs,
            callers,
            _node: None,
            _service: None,
            sent: AtomicU64::new(0),
        }
    }

    /// Sends requests, some at a time. Returns what is wrong with their answers.
    pub(crate) async fn check_all(
        &self,
        cases: Vec<Case>,
        dialect: Dialect,
        reuse: Reuse,
    ) -> Vec<String> {
        let checks = cases.into_iter().map(async |case| {
            let last = match reuse {
                Reuse::Never => Step::Last,
                Reuse::Mostly => Step::Whole,
            };
            let retries = match (case.kind.2, reuse) {
                (Expected::Failure, Reuse::Never) => 0,
                _ => case.steps.len(),
            };
            for _ in 0..retries {
                self.send_before(&case, last).await;
            }
            self.check(&case, last, dialect).await
        });
        let checks = stream::iter(checks).buffer_unordered(CONCURRENCY);
        checks.filter_map(async |fault| fault).collect().await
    }

    /// Sends a request that is answered at once. Each adds a part of a retry to a budget, and leaves a
    /// connection that a later one may use unless the answer is the last on it.
    async fn send_before(&self, case: &Case, step: Step) {
        self.send(case.kind, &[step; 2], Dialect::Close).await;
    }

    /// Sends a request of a unique ID and body, again while it is truthfully refused. Returns the ID
    /// and the response.
    async fn send(&self, kind: Kind, steps: &[Step], dialect: Dialect) -> (String, Response) {
        let mut refusals = 0;
        loop {
            let (id, response) = self.send_once(kind, steps, dialect).await;
            let is_refused = response.status == 503 && self.runs.of(&id) == 0;
            if !is_refused || refusals == MAX_REFUSALS {
                return (id, response);
            }
            refusals += 1;
            sleep(RETRY_DELAY).await;
        }
    }

    async fn send_once(
        &self,
        (path, headers, _): Kind,
        steps: &[Step],
        dialect: Dialect,
    ) -> (String, Response) {
        let id = id(self.sent.fetch_add(1, Ordering::Relaxed));
        let headers = format!("{headers}{}", plan(steps));
        let request = caller::request_with_body(path, &headers, &id);
        let request = request.replace("x-id: q1\r\n", &format!("x-id: {id}\r\n"));
        let response = match dialect {
            Dialect::Close => caller::send(self.callers, &request).await,
            Dialect::Old => {
                let request = request.replace("HTTP/1.1", "HTTP/1.0");
                caller::send_until_closed(self.callers, &request).await
            }
        };
        (id, response)
    }

    async fn check(&self, case: &Case, last: Step, dialect: Dialect) -> Option<String> {
        let steps = [&case.steps[..], &[last]].concat();
        let (id, response) = self.send(case.kind, &steps, dialect).await;
        let fault = fault(&response, case.kind, self.runs.of(&id));
        fault.map(|fault| format!("{fault}: {case:?} {dialect:?}: {response:?}"))
    }
}

/// ID of four characters, as many as its placeholder.
fn id(number: u64) -> String {
    format!("{number:04x}")
}

/// Returns why a response is wrong.
fn fault(response: &Response, (path, headers, expected): Kind, runs: u32) -> Option<&'static str> {
    if runs == 0 {
        return Some("no server ran the request");
    }
    if response.head.contains("x-seal: cut") {
        return Some("the seal of the head that was cut");
    }
    match (expected, response.status) {
        (_, 429 | 503) => Some("said not to have run"),
        (Expected::Retry, 200) => {
            let is_whole = is_whole(response, path, headers);
            (!is_whole).then_some("not the whole answer of another run")
        }
        (Expected::Failure, 502 | 504) => {
            let is_own = response.body.starts_with("{\"error\":\"");
            let is_sealed = response.head.contains("x-seal");
            let is_sound = is_own && response.is_complete && !is_sealed;
            (!is_sound).then_some("a failure that is not the gateway's own")
        }
        // What was under way when the stream was broken off may be lost.
        (Expected::Broken, 200) if is_beginning(&event_ids(response)) => {
            response.is_complete.then_some("a part that looks whole")
        }
        _ => Some("another answer"),
    }
}

fn is_beginning(ids: &[u64]) -> bool {
    (1..=LAST_EVENT).zip(ids).all(|(event, id)| event == *id) && ids.len() as u64 <= LAST_EVENT
}

fn is_whole(response: &Response, path: &str, headers: &str) -> bool {
    let is_sealed = response.head.contains("x-seal: whole");
    if ["/once/", "/idempotent/", "/keyed/"].contains(&path) {
        return is_sealed && response.is_complete && response.body == "done";
    }
    let first = if headers.contains("x-after: 2") { 3 } else { 1 };
    let expected: Vec<u64> = (first..=LAST_EVENT).collect();
    is_sealed && response.is_complete && event_ids(response) == expected
}

/// IDs of the received events.
fn event_ids(response: &Response) -> Vec<u64> {
    let lines = response.body.lines();
    let ids = lines.filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}
