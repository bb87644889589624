//! Passing a stream of events on, and resuming it where it broke off.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use mulberryyoke_event::{Event, log};
use mulberryyoke_wire::sse::Events;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use crate::answer::Broken;
use crate::backend::Running;
use crate::call::Call;
use crate::clock;
use crate::conn::Conn;
use crate::core::Core;
use crate::dispatch::{fail, finish};
use crate::protocol::Reading;

/// Pieces that wait for the caller's connection; more hold the server up.
const PIECES: usize = 4;

/// Why a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Whole,
    Broken,
    Late,
    HungUp,
    Stopping,
}

impl End {
    const fn word(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Broken => "broken",
            Self::Late => "late",
            Self::HungUp => "hung_up",
            Self::Stopping => "stopping",
        }
    }
}

/// A stream on its way from a server to its caller.
struct Pump {
    core: Arc<Core>,
    call: Arc<Call>,
    running: Running,
    body: Incoming,
    events: Events,
    pieces: mpsc::Sender<Result<Bytes, Broken>>,
    passed: u32,
}

/// Passes a stream on in a task of its own, until its end or until nobody reads it.
pub(crate) fn spawn(
    core: &Arc<Core>,
    call: &Arc<Call>,
    running: Running,
    conn: Conn,
    body: Incoming,
    reading: Reading,
) -> mpsc::Receiver<Result<Bytes, Broken>> {
    let (pieces, receiver) = mpsc::channel(PIECES);
    let pump = Pump {
        core: Arc::clone(core),
        call: Arc::clone(call),
        running,
        body,
        events: Events::default(),
        pieces,
        passed: 0,
    };
    tokio::spawn(pump.run(conn, reading));
    receiver
}

impl Pump {
    async fn run(mut self, conn: Conn, reading: Reading) {
        let end = self.pass().await;
        let broken = match end {
            End::Whole | End::HungUp => None,
            End::Broken => Some(Broken::Server),
            End::Late => Some(Broken::Late),
            End::Stopping => Some(Broken::Stopping),
        };
        self.note(end);
        if let Some(broken) = broken {
            // A caller that is gone has no use for it.
            let _ = self.pieces.send(Err(broken)).await;
        }
        match end {
            End::Whole => finish(self.running, conn, reading),
            End::Broken => fail(
                &self.core,
                &self.call,
                &self.running,
                "stream broke off",
                "",
            ),
            End::Late | End::HungUp | End::Stopping => drop(conn),
        }
    }

    async fn pass(&mut self) -> End {
        let core = Arc::clone(&self.core);
        let deadline = self.call.deadline;
        loop {
            let frame = tokio::select! {
                biased;
                () = self.pieces.closed() => return End::HungUp,
                frame = self.body.frame() => frame,
                () = sleep_until(deadline) => return End::Late,
                () = core.stop.end.cancelled() => return End::Stopping,
            };
            let data = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(_)) => return End::Broken,
                None if self.events.flush().is_empty() => return End::Whole,
                None => return End::Broken,
            };
            let whole = self.events.read(data);
            if whole.is_empty() {
                continue;
            }
            self.running.first();
            self.passed += 1;
            if self.pieces.send(Ok(whole)).await.is_err() {
                return End::HungUp;
            }
        }
    }

    fn note(&self, end: End) {
        let elapsed_ms = clock::between_ms(self.call.since, Instant::now());
        log!(self.core.logger, Event::Streamed,
            "request" => &self.call.id,
            "server" => &self.running.backend.server.name,
            "end" => end.word(),
            "pieces" => self.passed,
            "elapsed_ms" => elapsed_ms);
        metrics::counter!("streams_total", "end" => end.word()).increment(1);
    }
}
