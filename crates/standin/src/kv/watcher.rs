//! Watches.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::channel::mpsc::{Receiver, Sender, channel};
use futures::{SinkExt, StreamExt};
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::http::{Body, Reply};
use crate::kv::Store;
use crate::kv::data::{Span, span};
use crate::kv::request::Create;

/// Messages that wait for a slow watcher.
const BACKLOG: usize = 16;

/// One watch.
struct Watcher {
    store: Arc<Store>,
    messages: Sender<Bytes>,
    span: Span,
    next: u64,
    with_progress: bool,
}

/// Counts a waiting watch until dropped.
struct Waiting(Arc<Store>);

impl Waiting {
    fn begin(store: Arc<Store>) -> Self {
        store.waiting.send_modify(|waiting| *waiting += 1);
        Self(store)
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.waiting.send_modify(|waiting| *waiting -= 1);
    }
}

/// Opens a watch and answers with its messages, one JSON object a line.
pub(crate) fn open(store: Arc<Store>, create: &Create) -> Reply {
    let (messages, receiver) = channel(BACKLOG);
    let now = store.data.lock().revision;
    let next = match create.start_revision {
        0 => now + 1,
        revision => revision,
    };
    let watcher = Watcher {
        span: span(&create.key, &create.end),
        next,
        messages,
        with_progress: create.progress_notify,
        store,
    };
    tokio::spawn(watcher.run(now));
    Response::new(body(receiver))
}

fn body(messages: Receiver<Bytes>) -> Body {
    let frames = messages.map(|message| Ok::<_, io::Error>(Frame::data(message)));
    StreamBody::new(frames).boxed_unsync()
}

impl Watcher {
    async fn run(mut self, now: u64) {
        let _waiting = Waiting::begin(Arc::clone(&self.store));
        let mut revision = self.store.revision.subscribe();
        let mut go_on = self
            .send(json!({ "header": header(now), "created": true }))
            .await;
        while go_on {
            go_on = self.news().await && self.wait(&mut revision).await;
        }
    }

    /// Sends what is new. Returns whether the watch goes on.
    async fn news(&mut self) -> bool {
        let (now, compacted, writes) = {
            let data = self.store.data.lock();
            let writes = data.since(&self.span, self.next);
            (data.revision, data.compacted, writes)
        };
        if self.next < compacted {
            self.send(json!({
                "header": header(now),
                "canceled": true,
                "compact_revision": compacted.to_string(),
            }))
            .await;
            return false;
        }
        self.next = self.next.max(now + 1);
        if writes.is_empty() {
            return true;
        }
        let events: Vec<Value> = writes.iter().map(crate::kv::value::Write::json).collect();
        self.send(json!({ "header": header(now), "events": events }))
            .await
    }

    /// Waits for a write. Returns whether the watch goes on.
    async fn wait(&mut self, revision: &mut watch::Receiver<u64>) -> bool {
        let progress = Duration::from_millis(self.store.faults.lock().progress_ms);
        let mut gone = self.messages.clone();
        tokio::select! {
            changed = revision.changed() => changed.is_ok(),
            () = closed(&mut gone) => false,
            () = tokio::time::sleep(progress), if self.with_progress => {
                let now = self.store.data.lock().revision;
                self.send(json!({ "header": header(now) })).await
            }
        }
    }

    async fn send(&mut self, result: Value) -> bool {
        let line = format!("{}\n", json!({ "result": result }));
        self.messages.send(Bytes::from(line)).await.is_ok()
    }
}

/// Waits until the receiver is gone.
async fn closed(messages: &mut Sender<Bytes>) {
    std::future::poll_fn(|context| match messages.poll_ready(context) {
        std::task::Poll::Ready(Err(_)) => std::task::Poll::Ready(()),
        _ => std::task::Poll::Pending,
    })
    .await;
}

pub(crate) fn header(revision: u64) -> Value {
    json!({
        "cluster_id": "1",
        "member_id": "1",
        "revision": revision.to_string(),
        "raft_term": "1",
    })
}
