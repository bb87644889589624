//! The control port, which serves the links of routers.

use std::sync::Arc;

use mulberryyoke_decide::admission::{Due, LinkKey};
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Attempt, Change, Incarnation, KeyId, Outcome, Revision};
use mulberryyoke_wire::{self as wire, Interest, Poll, PollResponse, Sidecar, Withdrawal};
use tarpc::context::Context;
use tarpc::server::Channel;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::shared::Shared;
use crate::clock;

/// Accepts links from routers until dropped.
pub(crate) async fn run(listener: wire::Listener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, listener.bytes(), Arc::clone(&shared)));
            }
            Err(_) => tokio::task::yield_now().await,
        }
    }
}

async fn serve(stream: TcpStream, bytes: Arc<wire::ByteCounter>, shared: Arc<Shared>) {
    let (key, poll) = shared.connect();
    let link = Link {
        shared: Arc::clone(&shared),
        key,
        poll,
    };
    let calls = wire::sidecar_channel(stream, bytes).execute(link.serve());
    tokio::select! {
        () = wire::spawn_calls(calls) => {}
        () = shared.closed.cancelled() => {}
    }
    shared.disconnect(key);
}

/// The link of one router.
#[derive(Clone, Debug)]
struct Link {
    shared: Arc<Shared>,
    key: LinkKey,
    poll: Arc<Notify>,
}

impl Link {
    /// Waits until the response to a poll is due, at most until `until`.
    async fn wait_due(&self, until: mulberryyoke_model::Millis) {
        loop {
            let due = self
                .shared
                .decide(|admission, now| admission.due(self.key, now));
            let at = match due {
                Due::Now => return,
                Due::At(at) => at.min(until),
                Due::Idle => until,
            };
            if until <= clock::now() {
                return;
            }
            tokio::select! {
                () = self.poll.notified() => {}
                () = tokio::time::sleep_until(clock::instant(at)) => {}
            }
        }
    }

    fn poll_response(&self) -> PollResponse {
        let (load, (grants, report)) = self
            .shared
            .decide(|admission, now| (admission.load(), admission.poll_response(self.key, now)));
        for grant in &grants {
            log!(self.shared.logger, Event::Granted,
                "grant" => grant.id, "customer" => grant.customer.0, "until" => grant.until);
        }
        PollResponse {
            load,
            grants,
            report,
        }
    }
}

impl Sidecar for Link {
    async fn declare(self, _: Context, origin: Incarnation, full: bool, interest: Vec<Interest>) {
        self.shared.decide(|admission, now| {
            admission.identify_router(self.key, origin, now);
            admission.declare(self.key, full, &interest, now);
        });
    }

    async fn poll(self, _: Context, poll: Poll) -> PollResponse {
        self.shared.decide(|admission, now| {
            admission.identify_router(self.key, poll.origin, now);
            admission.poll(
                self.key,
                poll.acknowledged,
                &poll.fleet,
                poll.fleet_as_of,
                now,
            );
        });
        self.wait_due(poll.until).await;
        self.poll_response()
    }

    async fn decline(self, _: Context, grants: Vec<u64>) {
        self.shared
            .decide(|admission, now| admission.decline(self.key, &grants, now));
    }

    async fn withdraw(self, _: Context, attempt: Attempt, key: Option<KeyId>) -> Withdrawal {
        if key.is_some() {
            self.shared
                .registration
                .register(&self.shared, attempt.origin)
                .await;
        }
        let (outcome, doubtful) = self
            .shared
            .decide(|admission, now| admission.withdraw(attempt, key, now));
        log!(self.shared.logger, Event::Withdrawn,
            "request" => attempt.request_id(), "attempt" => attempt.number,
            "outcome" => outcome.as_str(), "doubtful" => doubtful);
        Withdrawal { outcome, doubtful }
    }

    async fn outcome(self, _: Context, attempt: Attempt, key: Option<KeyId>) -> Outcome {
        self.shared
            .decide(|admission, now| admission.outcome(attempt, key, now))
    }

    async fn configure(self, _: Context, changes: Vec<Change>) -> Revision {
        self.shared.configure(changes)
    }

    async fn recall(self, _: Context, origin: Incarnation, complete: bool, keys: Vec<KeyId>) {
        let recovered = self.shared.decide(|admission, now| {
            let was_recovering = admission.is_recovering(now);
            admission.identify_router(self.key, origin, now);
            admission.add_sent_keys(origin, complete, &keys, now);
            was_recovering && !admission.is_recovering(now)
        });
        if recovered {
            log!(self.shared.logger, Event::KeysRecovered, "from" => "routers");
        }
    }

    async fn changes(self, _: Context, since: Revision) -> Vec<Change> {
        self.shared.changes(since)
    }
}
