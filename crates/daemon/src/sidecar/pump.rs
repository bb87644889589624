//! An answer on its way from the backend to the router.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use hyper::http::response::Parts;
use mulberryyoke_decide::admission::Termination;
use mulberryyoke_decide::key;
use mulberryyoke_event::{Event, log};
use tokio::sync::mpsc;

use super::backend::STREAM_ID;
use super::meter::Meter;
use super::relay::Piece;
use super::slot::Slot;

/// Largest answer kept for repeats of a key, in bytes.
const MAX_KEPT: usize = 64 << 10;

/// How long the end of the backend's answer is waited for after its last event.
const REST: Duration = Duration::from_secs(1);

/// Passes an answer on, frame by frame, as fast as the router takes it.
#[derive(Debug)]
pub(crate) struct Pump {
    slot: Slot,
    body: Incoming,
    frames: mpsc::Sender<Piece>,
    meter: Meter,
    /// The answer so far, while it may be kept for repeats.
    kept: Option<key::Response>,
    /// The engine's name of the stream, until it was resumed once.
    stream: Option<String>,
    /// Whether the router has hung up on a request that runs on.
    alone: bool,
}

/// How an answer ended.
enum End {
    Whole,
    Broken,
    HungUp,
    Stopped,
}

impl Pump {
    pub(crate) fn open(
        slot: Slot,
        parts: &Parts,
        body: Incoming,
        frames: mpsc::Sender<Piece>,
    ) -> Self {
        let meter = Meter::open(slot.shared.settings.kind, &slot.ticket, parts);
        let kept = slot.ticket.key.map(|_| keep(parts));
        let stream = parts.headers.get(STREAM_ID);
        let stream = stream.and_then(|id| id.to_str().ok());
        Self {
            slot,
            body,
            frames,
            meter,
            kept,
            stream: stream.map(str::to_owned),
            alone: false,
        }
    }

    pub(crate) async fn run(mut self) {
        match self.relay().await {
            End::Whole => self.finish().await,
            End::HungUp => self.cancel(),
            End::Broken => self.log_broken("answer broke off"),
            End::Stopped => self.log_broken("stopped at the drain deadline"),
        }
    }

    /// Ends the answer towards the router at once, then reads to the end of the
    /// backend's, so that its connection can be used again.
    async fn finish(mut self) {
        self.slot.end(Termination::Complete(self.kept));
        // A router that has hung up needs no end.
        let _ = self.frames.send(Piece::End).await;
        let rest = async { while let Some(Ok(_)) = self.body.frame().await {} };
        // A backend that says more than an end loses its connection.
        let _ = tokio::time::timeout(REST, rest).await;
    }

    async fn relay(&mut self) -> End {
        let cut = self.slot.shared.cut.clone();
        loop {
            let frame = tokio::select! {
                frame = self.body.frame() => frame,
                () = self.frames.closed(), if !self.runs_on() => return End::HungUp,
                () = cut.cancelled() => return End::Stopped,
            };
            let passed = match frame {
                Some(Ok(frame)) => self.pass(frame).await,
                None => self.end().await,
                Some(Err(_)) => self.resume().await,
            };
            if let Err(end) = passed {
                return end;
            }
        }
    }

    /// Whether the request runs on when the router hangs up.
    const fn runs_on(&self) -> bool {
        self.slot.ticket.key.is_some()
    }

    async fn pass(&mut self, frame: Frame<Bytes>) -> Result<(), End> {
        let data = match frame.into_data() {
            Ok(data) => data,
            Err(other) => return self.send(other).await,
        };
        let (ready, tokens) = self.meter.read(data);
        self.slot.meter(tokens);
        self.pass_data(ready).await?;
        if self.meter.is_done() {
            return self.end().await;
        }
        Ok(())
    }

    async fn pass_data(&mut self, data: Bytes) -> Result<(), End> {
        if data.is_empty() {
            return Ok(());
        }
        self.keep(&data);
        self.send(Frame::data(data)).await
    }

    async fn send(&mut self, frame: Frame<Bytes>) -> Result<(), End> {
        if self.alone {
            return Ok(());
        }
        let cut = self.slot.shared.cut.clone();
        let sent = tokio::select! {
            sent = self.frames.send(Piece::Frame(frame)) => sent,
            () = cut.cancelled() => return Err(End::Stopped),
        };
        match sent {
            Ok(()) => Ok(()),
            Err(_) if self.runs_on() => {
                self.alone = true;
                Ok(())
            }
            Err(_) => Err(End::HungUp),
        }
    }

    /// The backend has ended its answer.
    async fn end(&mut self) -> Result<(), End> {
        let (rest, tokens) = self.meter.finish();
        if !self.meter.is_whole() && rest.is_empty() {
            return self.resume().await;
        }
        self.slot.meter(tokens);
        self.pass_data(rest).await?;
        Err(if self.meter.is_whole() {
            End::Whole
        } else {
            End::Broken
        })
    }

    /// Goes on with a stream that broke off, once, where the engine can do that.
    async fn resume(&mut self) -> Result<(), End> {
        let id = self.stream.take().ok_or(End::Broken)?;
        let after = self.meter.resume_after().ok_or(End::Broken)?;
        let cut = self.slot.shared.cut.clone();
        let resumed = tokio::select! {
            resumed = self.slot.shared.backend.resume(&id, after) => resumed,
            () = cut.cancelled() => return Err(End::Stopped),
        };
        self.body = resumed.ok_or(End::Broken)?;
        let attempt = self.slot.ticket.attempt;
        log!(self.slot.shared.logger, Event::Resumed,
            "request" => attempt.request_id(), "attempt" => attempt.number, "after" => after);
        Ok(())
    }

    fn keep(&mut self, data: &[u8]) {
        let kept = self.kept.take();
        let fits = kept.filter(|kept| kept.body.len() + data.len() <= MAX_KEPT);
        self.kept = fits.map(|mut kept| {
            kept.body.extend_from_slice(data);
            kept
        });
    }

    /// Cancels a request whose router has hung up: by the engine's name of the
    /// stream, since an engine that can resume may go on without a reader.
    fn cancel(self) {
        let attempt = self.slot.ticket.attempt;
        log!(self.slot.shared.logger, Event::Cancelled,
            "request" => attempt.request_id(), "attempt" => attempt.number);
        if let Some(id) = self.stream {
            let backend = self.slot.shared.backend.clone();
            tokio::spawn(async move { backend.cancel(&id).await });
        }
    }

    fn log_broken(&self, cause: &str) {
        let attempt = self.slot.ticket.attempt;
        log!(self.slot.shared.logger, Event::BackendFailed,
            "request" => attempt.request_id(), "attempt" => attempt.number,
            "sent" => true, "error" => cause);
    }
}

fn keep(parts: &Parts) -> key::Response {
    let headers = parts.headers.iter();
    let headers = headers.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()));
    key::Response {
        status: parts.status.as_u16(),
        headers: headers.collect(),
        body: Vec::new(),
    }
}
