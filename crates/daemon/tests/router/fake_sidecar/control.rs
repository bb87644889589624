//! The control port of a fake sidecar.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use mulberryyoke_model::{Attempt, Change, Incarnation, Interest, KeyId, Outcome, Revision};
use mulberryyoke_wire::{self as wire, Listener, Poll, PollResponse, Sidecar, Withdrawal};
use tarpc::context::Context;
use tarpc::server::Channel;
use tokio_util::sync::CancellationToken;

use super::Shared;

/// Time after which a poll without a grant is answered.
const POLL_TIMEOUT: Duration = Duration::from_millis(50);

pub(super) async fn serve(listener: Listener, shared: Arc<Shared>, cancel: CancellationToken) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let channel = wire::sidecar_channel(stream, listener.bytes());
        let calls = channel.execute(Control(Arc::clone(&shared)).serve());
        let calls = wire::spawn_calls(calls.boxed());
        tokio::spawn(cancel.clone().run_until_cancelled_owned(calls));
    }
}

#[derive(Clone)]
struct Control(Arc<Shared>);

impl Sidecar for Control {
    async fn declare(self, _: Context, _: Incarnation, full: bool, interest: Vec<Interest>) {
        self.0.wait_unfrozen().await;
        self.0.declared.send_modify(|declared| {
            if full {
                declared.clear();
            }
            let by_customer = interest.into_iter();
            declared.extend(by_customer.map(|interest| (interest.customer, interest)));
        });
    }

    async fn poll(self, _: Context, poll: Poll) -> PollResponse {
        if poll.until > 0 {
            // A timeout is a response without grants.
            let _ = tokio::time::timeout(POLL_TIMEOUT, self.0.granted.notified()).await;
        }
        self.0.wait_unfrozen().await;
        PollResponse {
            load: self.0.load(),
            grants: std::mem::take(&mut self.0.grants.lock()),
            report: None,
        }
    }

    async fn decline(self, _: Context, grants: Vec<u64>) {
        self.0
            .declined
            .send_modify(|declined| declined.extend(grants));
    }

    async fn withdraw(self, _: Context, attempt: Attempt, key: Option<KeyId>) -> Withdrawal {
        self.0.wait_unfrozen().await;
        self.0
            .withdrawn
            .send_modify(|withdrawn| withdrawn.push((attempt, key)));
        *self.0.withdrawal.lock()
    }

    async fn outcome(self, _: Context, _: Attempt, _: Option<KeyId>) -> Outcome {
        self.0.wait_unfrozen().await;
        self.0.withdrawal.lock().outcome
    }

    async fn configure(self, _: Context, changes: Vec<Change>) -> Revision {
        let latest = changes.iter().map(|change| change.revision).max();
        let mut revision = self.0.revision.lock();
        *revision = latest.unwrap_or(0).max(*revision);
        *revision
    }

    async fn recall(self, _: Context, _: Incarnation, _: bool, keys: Vec<KeyId>) {
        self.0.recalled.send_replace(keys);
    }

    async fn changes(self, _: Context, _: Revision) -> Vec<Change> {
        Vec::new()
    }
}
