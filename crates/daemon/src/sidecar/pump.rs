//! An answer on its way from the backend to the router.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use hyper::http::response::Parts;
use mulberryyoke_decide::admission::Ending;
use mulberryyoke_decide::key;
use mulberryyoke_event::{Event, log};
use tokio::sync::mpsc;

use super::meter::Meter;
use super::relay::Piece;
use super::slot::Slot;

/// Largest answer kept for repeats of a key, in bytes.
const MAX_KEPT: usize = 64 << 10;

/// Passes an answer on, frame by frame, as fast as the router takes it.
#[derive(Debug)]
pub(crate) struct Pump {
    slot: Slot,
    body: Incoming,
    frames: mpsc::Sender<Piece>,
    meter: Meter,
    /// The answer so far, while it may be kept for repeats.
    kept: Option<key::Answer>,
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
        Self {
            slot,
            body,
            frames,
            meter,
            kept,
        }
    }

    pub(crate) async fn run(mut self) {
        match self.relay().await {
            End::Whole => self.finish().await,
            End::HungUp => self.log_cancelled(),
            End::Broken => self.log_broken("answer broke off"),
            End::Stopped => self.log_broken("stopped at the drain deadline"),
        }
    }

    async fn finish(self) {
        self.slot.meter(self.meter.finish());
        self.slot.end(Ending::Whole(self.kept));
        // A router that has hung up needs no end.
        let _ = self.frames.send(Piece::End).await;
    }

    async fn relay(&mut self) -> End {
        let keyed = self.slot.ticket.key.is_some();
        let cut = self.slot.shared.cut.clone();
        loop {
            let frame = tokio::select! {
                frame = self.body.frame() => frame,
                () = self.frames.closed(), if !keyed => return End::HungUp,
                () = cut.cancelled() => return End::Stopped,
            };
            let frame = match frame {
                Some(Ok(frame)) => frame,
                None if self.meter.is_whole() => return End::Whole,
                Some(Err(_)) | None => return End::Broken,
            };
            self.count(&frame);
            let sent = tokio::select! {
                sent = self.frames.send(Piece::Frame(frame)) => sent,
                () = cut.cancelled() => return End::Stopped,
            };
            if sent.is_err() && !keyed {
                return End::HungUp;
            }
        }
    }

    fn count(&mut self, frame: &Frame<Bytes>) {
        let Some(data) = frame.data_ref() else {
            return;
        };
        self.slot.meter(self.meter.read(data));
        if let Some(kept) = &mut self.kept {
            kept.body.extend_from_slice(data);
        }
        if self
            .kept
            .as_ref()
            .is_some_and(|kept| kept.body.len() > MAX_KEPT)
        {
            self.kept = None;
        }
    }

    fn log_cancelled(&self) {
        let attempt = self.slot.ticket.attempt;
        log!(self.slot.shared.logger, Event::Cancelled,
            "request" => attempt.request_id(), "attempt" => attempt.number);
    }

    fn log_broken(&self, cause: &str) {
        let attempt = self.slot.ticket.attempt;
        log!(self.slot.shared.logger, Event::BackendFailed,
            "request" => attempt.request_id(), "attempt" => attempt.number,
            "sent" => true, "error" => cause);
    }
}

fn keep(parts: &Parts) -> key::Answer {
    let headers = parts.headers.iter();
    let headers = headers.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()));
    key::Answer {
        status: parts.status.as_u16(),
        headers: headers.collect(),
        body: Vec::new(),
    }
}
