//! Watch streams.

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
use crate::kv::data::{KeyRange, key_range};
use crate::kv::execute::header;
use crate::kv::request::CreateWatch;
use crate::kv::value::Write;

/// Maximum messages buffered for a client.
const BUFFERED_MESSAGES: usize = 16;

/// An open watch.
struct Watcher {
    store: Arc<Store>,
    messages: Sender<Bytes>,
    range: KeyRange,
    next_revision: u64,
    notifies_progress: bool,
}

/// Guard that counts an open watch until it is dropped.
struct OpenWatch(Arc<Store>);

impl OpenWatch {
    fn new(store: Arc<Store>) -> Self {
        store.watches.send_modify(|watches| *watches += 1);
        Self(store)
    }
}

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.0.watches.send_modify(|watches| *watches -= 1);
    }
}

/// Opens a watch. The response body is a stream of messages, one JSON object per line.
pub(crate) fn open(store: Arc<Store>, request: &CreateWatch) -> Response {
    let (messages, receiver) = channel(BUFFERED_MESSAGES);
    let current = store.data.lock().revision;
    let next_revision = match request.start_revision {
        0 => current + 1,
        revision => revision,
    };
    let watcher = Watcher {
        range: key_range(&request.key, &request.end),
        next_revision,
        messages,
        notifies_progress: request.progress_notify,
        store,
    };
    tokio::spawn(watcher.run(current));
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
    async fn run(mut self, current: u64) {
        let _open = OpenWatch::new(Arc::clone(&self.store));
        let mut revision = self.store.revision.subscribe();
        let mut is_open = self
            .send(json!({ "header": header(current), "created": true }))
            .await;
        while is_open {
            is_open = self.send_writes().await && self.wait(&mut revision).await;
        }
    }

    /// Sends the writes since the last message. Returns whether the watch stays open.
    async fn send_writes(&mut self) -> bool {
        let (current, compacted, writes) = {
            let data = self.store.data.lock();
            let writes = data.writes_since(&self.range, self.next_revision);
            (data.revision, data.compacted, writes)
        };
        if self.next_revision < compacted {
            // etcd omits the revision in this message.
            self.send(json!({
                "header": {},
                "canceled": true,
                "compact_revision": compacted.to_string(),
            }))
            .await;
            return false;
        }
        self.next_revision = self.next_revision.max(current + 1);
        if writes.is_empty() {
            return true;
        }
        let events: Vec<Value> = writes.iter().map(Write::json).collect();
        self.send(json!({ "header": header(current), "events": events }))
            .await
    }

    /// Waits for a write or a progress notification. Returns whether the watch stays open.
    async fn wait(&mut self, revision: &mut watch::Receiver<u64>) -> bool {
        let interval = Duration::from_millis(self.store.faults.borrow().progress_ms);
        tokio::select! {
            changed = revision.changed() => changed.is_ok(),
            () = self.messages.closed() => false,
            () = tokio::time::sleep(interval), if self.notifies_progress => {
                let current = self.store.data.lock().revision;
                self.send(json!({ "header": header(current) })).await
            }
        }
    }

    async fn send(&self, result: Value) -> bool {
        let line = format!("{}\n", json!({ "result": result }));
        self.messages.send(Bytes::from(line)).await.is_ok()
    }
}
