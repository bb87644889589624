//! Forwarding of a response from the backend to the router.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use hyper::http::response::Parts;
use mulberryyoke_decide::admission::Termination;
use mulberryyoke_decide::key;
use mulberryyoke_event::{Event, log};
use tokio::sync::mpsc;

use super::backend::STREAM_ID_HEADER;
use super::channel_body::Message;
use super::meter::Meter;
use super::slot::Slot;

/// Maximum body size of a response stored for replay, in bytes.
const MAX_STORED: usize = 64 << 10;

/// How long to wait for the end of the backend's body after its last event.
const EOF_TIMEOUT: Duration = Duration::from_secs(1);

/// Forwards a response frame by frame, with backpressure from the router.
#[derive(Debug)]
pub(crate) struct Forwarder {
    slot: Slot,
    body: Incoming,
    messages: mpsc::Sender<Message>,
    meter: Meter,
    /// The response so far, while it may be stored for replay.
    stored: Option<key::Response>,
    /// The engine's stream ID; taken by the first resume.
    stream_id: Option<String>,
    /// Whether the router disconnected from a request that runs to its end.
    detached: bool,
}

/// How forwarding ended.
enum End {
    Complete,
    Interrupted,
    Disconnected,
    Stopped,
}

impl Forwarder {
    pub(crate) fn new(
        slot: Slot,
        parts: &Parts,
        body: Incoming,
        messages: mpsc::Sender<Message>,
    ) -> Self {
        let meter = Meter::new(slot.shared.settings.kind, &slot.ticket, parts);
        let stored = slot.ticket.key.map(|_| empty_response(parts));
        let stream_id = parts.headers.get(STREAM_ID_HEADER);
        let stream_id = stream_id.and_then(|id| id.to_str().ok());
        Self {
            slot,
            body,
            messages,
            meter,
            stored,
            stream_id: stream_id.map(str::to_owned),
            detached: false,
        }
    }

    pub(crate) async fn run(mut self) {
        match self.forward().await {
            End::Complete => self.finish().await,
            End::Disconnected => self.cancel(),
            End::Interrupted => self.log_interrupted("response body ended early"),
            End::Stopped => self.log_interrupted("stopped at the drain deadline"),
        }
    }

    /// Ends the router's response immediately, then reads the backend's body to its
    /// end, so that the connection can be reused.
    async fn finish(mut self) {
        self.slot.end(Termination::Complete(self.stored));
        // Fails if the router has disconnected.
        let _ = self.messages.send(Message::End).await;
        let remainder = async { while let Some(Ok(_)) = self.body.frame().await {} };
        // After a timeout, the connection is closed.
        let _ = tokio::time::timeout(EOF_TIMEOUT, remainder).await;
    }

    async fn forward(&mut self) -> End {
        let drain_expired = self.slot.shared.drain_expired.clone();
        loop {
            let frame = tokio::select! {
                frame = self.body.frame() => frame,
                () = self.messages.closed(), if !self.runs_detached() => return End::Disconnected,
                () = drain_expired.cancelled() => return End::Stopped,
            };
            let result = match frame {
                Some(Ok(frame)) => self.forward_frame(frame).await,
                None => self.end().await,
                Some(Err(_)) => self.resume().await,
            };
            if let Err(end) = result {
                return end;
            }
        }
    }

    /// Whether the request runs to its end if the router disconnects.
    const fn runs_detached(&self) -> bool {
        self.slot.ticket.key.is_some()
    }

    async fn forward_frame(&mut self, frame: Frame<Bytes>) -> Result<(), End> {
        let data = match frame.into_data() {
            Ok(data) => data,
            Err(other) => return self.send(other).await,
        };
        let (ready, tokens) = self.meter.read(data);
        self.slot.record_tokens(tokens);
        self.forward_data(ready).await?;
        if self.meter.is_done() {
            return self.end().await;
        }
        Ok(())
    }

    async fn forward_data(&mut self, data: Bytes) -> Result<(), End> {
        if data.is_empty() {
            return Ok(());
        }
        self.store(&data);
        self.send(Frame::data(data)).await
    }

    async fn send(&mut self, frame: Frame<Bytes>) -> Result<(), End> {
        if self.detached {
            return Ok(());
        }
        let drain_expired = self.slot.shared.drain_expired.clone();
        let sent = tokio::select! {
            sent = self.messages.send(Message::Frame(frame)) => sent,
            () = drain_expired.cancelled() => return Err(End::Stopped),
        };
        match sent {
            Ok(()) => Ok(()),
            Err(_) if self.runs_detached() => {
                self.detached = true;
                Ok(())
            }
            Err(_) => Err(End::Disconnected),
        }
    }

    /// Handles the end of the backend's body.
    async fn end(&mut self) -> Result<(), End> {
        let (rest, tokens) = self.meter.finish();
        if !self.meter.is_complete() && rest.is_empty() {
            return self.resume().await;
        }
        self.slot.record_tokens(tokens);
        self.forward_data(rest).await?;
        Err(if self.meter.is_complete() {
            End::Complete
        } else {
            End::Interrupted
        })
    }

    /// Resumes an interrupted stream, once and if the engine supports it.
    async fn resume(&mut self) -> Result<(), End> {
        let id = self.stream_id.take().ok_or(End::Interrupted)?;
        let after = self.meter.resume_after().ok_or(End::Interrupted)?;
        let drain_expired = self.slot.shared.drain_expired.clone();
        let resumed = tokio::select! {
            resumed = self.slot.shared.backend.resume(&id, after) => resumed,
            () = drain_expired.cancelled() => return Err(End::Stopped),
        };
        self.body = resumed.ok_or(End::Interrupted)?;
        let attempt = self.slot.ticket.attempt;
        log!(self.slot.shared.logger, Event::Resumed,
            "request" => attempt.request_id(), "attempt" => attempt.number, "after" => after);
        Ok(())
    }

    fn store(&mut self, data: &[u8]) {
        let stored = self.stored.take();
        let fits = stored.filter(|stored| stored.body.len() + data.len() <= MAX_STORED);
        self.stored = fits.map(|mut stored| {
            stored.body.extend_from_slice(data);
            stored
        });
    }

    /// Cancels a request after the router disconnected. A stream with an ID is
    /// cancelled explicitly: an engine that can resume may generate without a reader.
    fn cancel(self) {
        let attempt = self.slot.ticket.attempt;
        log!(self.slot.shared.logger, Event::Cancelled,
            "request" => attempt.request_id(), "attempt" => attempt.number);
        if let Some(id) = self.stream_id {
            let backend = self.slot.shared.backend.clone();
            tokio::spawn(async move { backend.cancel(&id).await });
        }
    }

    fn log_interrupted(&self, cause: &str) {
        let attempt = self.slot.ticket.attempt;
        log!(self.slot.shared.logger, Event::BackendFailed,
            "request" => attempt.request_id(), "attempt" => attempt.number,
            "sent" => true, "error" => cause);
    }
}

fn empty_response(parts: &Parts) -> key::Response {
    let headers = parts.headers.iter();
    let headers = headers.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()));
    key::Response {
        status: parts.status.as_u16(),
        headers: headers.collect(),
        body: Vec::new(),
    }
}
