//! Passing a stream of events on, and resuming it where it broke off.

use std::pin::{Pin, pin};
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use mulberryyoke_event::{Event, log};
use mulberryyoke_wire::sse::{self, EventBuffer};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::backend::InFlight;
use crate::call::Call;
use crate::clock;
use crate::connection_pool::Connection;
use crate::core::Core;
use crate::dispatch::Trials;
use crate::failure::fail;
use crate::protocol::ResponseHead;
use crate::quarantine;
use crate::refusal::Refusal;
use crate::response_body::{BodyError, ResponseBody};

/// Pieces that wait for the caller's connection; more hold the server up.
const PIECES: usize = 4;

/// Longest pause between events, as a multiple of that of an answer on time, before
/// a stream goes on at another server: a preempted request begins again within it.
const GAPS: u64 = 3;

/// Why a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Whole,
    Broken,
    /// Nothing came for long, and another server is asked.
    Stalled,
    Late,
    HungUp,
    Stopping,
}

impl End {
    const fn word(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Broken => "broken",
            Self::Stalled => "stalled",
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
    running: InFlight,
    body: Incoming,
    events: EventBuffer,
    pieces: mpsc::Sender<Result<Bytes, BodyError>>,
    passed: u32,
    /// When events were last passed on.
    passed_at: Instant,
    /// Longest pause between events, in milliseconds.
    pause_ms: u64,
    /// The last event that the caller has.
    last_event: Option<u64>,
    /// Servers asked for this request.
    trials: Trials,
}

/// Passes a stream on in a task of its own, until its end or until nobody reads it.
pub(crate) fn spawn(
    core: &Arc<Core>,
    call: &Arc<Call>,
    running: InFlight,
    trials: Trials,
    (conn, reading): (Connection, ResponseHead),
    body: Incoming,
) -> mpsc::Receiver<Result<Bytes, BodyError>> {
    let (pieces, receiver) = mpsc::channel(PIECES);
    let pump = Pump {
        core: Arc::clone(core),
        call: Arc::clone(call),
        running,
        body,
        events: EventBuffer::default(),
        pieces,
        passed: 0,
        passed_at: Instant::now(),
        pause_ms: 0,
        last_event: call.resume_after,
        trials,
    };
    tokio::spawn(pump.run(conn, reading));
    receiver
}

impl Pump {
    async fn run(mut self, conn: Connection, reading: ResponseHead) {
        let end = self.pass().await;
        let is_stalled = end == End::Stalled;
        if is_stalled || (end == End::Broken && self.trials.may_repeat(&self.core, &self.call)) {
            drop(conn);
            return self.resume(end).await;
        }
        let broken = match end {
            End::Whole | End::HungUp => None,
            End::Broken | End::Stalled => Some(BodyError::Truncated),
            End::Late => Some(BodyError::TimedOut),
            End::Stopping => Some(BodyError::Stopping),
        };
        self.note(end);
        if let Some(broken) = broken {
            // A caller that is gone has no use for it.
            let _ = self.pieces.send(Err(broken)).await;
        }
        match end {
            End::Whole => {
                quarantine::record_success(&self.core, || self.call.digest());
                self.running.complete(conn, reading);
            }
            End::Broken | End::Stalled => {
                let (core, call) = (&self.core, &self.call);
                fail(core, call, &self.running, "stream broke off", "");
                quarantine::record_failure(core, call, &self.running).await;
            }
            End::Late | End::HungUp | End::Stopping => drop(conn),
        }
    }

    /// Goes on at another server after the last event that the caller has.
    async fn resume(mut self, end: End) {
        self.note(end);
        let (core, call) = (&Arc::clone(&self.core), &Arc::clone(&self.call));
        fail(core, call, &self.running, "stream broke off", "resuming");
        if end == End::Broken {
            quarantine::record_failure(core, call, &self.running).await;
        }
        let rest = self
            .trials
            .run(core, call, self.last_event, Refusal::OutcomeUnknown);
        let rest: Pin<Box<dyn Future<Output = _> + Send + '_>> = Box::pin(rest);
        let rest = rest.await;
        log!(core.logger, Event::Resumed,
            "request" => &call.id,
            "after" => self.last_event,
            "outcome" => rest.as_ref().map_or_else(|refusal| refusal.code(), |_| "answered"));
        let Ok(response) = rest else {
            // A caller that is gone has no use for it.
            let _ = self.pieces.send(Err(BodyError::Truncated)).await;
            return;
        };
        let ResponseBody::Stream(mut rest) = response.into_body() else {
            let _ = self.pieces.send(Err(BodyError::Truncated)).await;
            return;
        };
        loop {
            let piece = tokio::select! {
                biased;
                () = self.pieces.closed() => return,
                piece = rest.recv() => piece,
            };
            let Some(piece) = piece else { return };
            if self.pieces.send(piece).await.is_err() {
                return;
            }
        }
    }

    /// Passes events on until the stream ends. What may end it is waited for once and not anew
    /// for each event: a gateway needs 13,500 instructions an event and not 14,900 (streams of
    /// 40 events beside ones of 4).
    async fn pass(&mut self) -> End {
        let core = Arc::clone(&self.core);
        let pieces = self.pieces.clone();
        let mut closed = pin!(pieces.closed());
        let mut late = pin!(clock::wait_until(self.call.deadline_ms));
        let mut stopping = pin!(core.shutdown.terminate.cancelled());
        let mut stall = self.stall();
        let mut stalled = pin!(clock::sleep_until_opt(stall));
        loop {
            let frame = tokio::select! {
                biased;
                () = &mut closed => return End::HungUp,
                frame = self.body.frame() => frame,
                () = &mut late => return End::Late,
                () = &mut stalled => {
                    if stall.is_some_and(|at| at <= Instant::now()) {
                        if self.trials.may_repeat(&core, &self.call) {
                            return End::Stalled;
                        }
                        // No retry is left, and a slow answer is better than none.
                        stall = None;
                    }
                    // Events came since this instant was waited for.
                    stalled.set(clock::sleep_until_opt(stall));
                    continue;
                }
                () = &mut stopping => return End::Stopping,
            };
            let data = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                None if self.events.flush().is_empty() => return End::Whole,
                None | Some(Err(_)) => return End::Broken,
            };
            let is_waited_for = stall.is_some();
            stall = self.stall();
            if !is_waited_for {
                stalled.set(clock::sleep_until_opt(stall));
            }
            let whole = self.events.push(data);
            if whole.is_empty() {
                continue;
            }
            self.running.record_first_token();
            self.count();
            self.last_event = sse::last_id(&whole).or(self.last_event);
            if self.pieces.send(Ok(whole)).await.is_err() {
                return End::HungUp;
            }
        }
    }

    /// Counts events that are passed on.
    fn count(&mut self) {
        let now = Instant::now();
        if self.passed > 0 {
            let pause_ms = clock::between_ms(self.passed_at, now);
            self.pause_ms = self.pause_ms.max(pause_ms);
        }
        self.passed += 1;
        self.passed_at = now;
    }

    /// When a stream that may go on elsewhere is taken to have broken off.
    fn stall(&self) -> Option<Instant> {
        let gap_ms = self.call.route.max_gap_ms?;
        let may_go_on = self.trials.may_stall(&self.call);
        may_go_on.then(|| clock::after(Instant::now(), GAPS * gap_ms))
    }

    fn note(&self, end: End) {
        let elapsed_ms = clock::between_ms(self.call.received_at, Instant::now());
        log!(self.core.logger, Event::Streamed,
            "request" => &self.call.id,
            "server" => &self.running.backend.server.name,
            "end" => end.word(),
            "pieces" => self.passed,
            "pause_ms" => self.pause_ms,
            "elapsed_ms" => elapsed_ms);
        metrics::counter!("streams_total", "end" => end.word()).increment(1);
    }
}
