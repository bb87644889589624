//! Watches.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde_json::{Value, json};
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::sync::watch;

use crate::http::{Body, Response};
use crate::kv::Store;
use crate::kv::answer::header;
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
pub(crate) fn open(store: Arc<Store>, create: &Create) -> Response {
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
    let frames = stream::unfold(messages, |mut messages| async {
        let message = messages.recv().await?;
        Some((Ok::<_, io::Error>(Frame::data(message)), messages))
    });
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
            // The real service leaves the revision out here.
            self.send(json!({
                "header": {},
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
        let progress = Duration::from_millis(self.store.faults.borrow().progress_ms);
        tokio::select! {
            changed = revision.changed() => changed.is_ok(),
            () = self.messages.closed() => false,
            () = tokio::time::sleep(progress), if self.with_progress => {
                let now = self.store.data.lock().revision;
                self.send(json!({ "header": header(now) })).await
            }
        }
    }

    async fn send(&self, result: Value) -> bool {
        let line = format!("{}\n", json!({ "result": result }));
        self.messages.send(Bytes::from(line)).await.is_ok()
    }
}
