//! Relays an event stream to the caller and resumes it on another server when it is truncated.

mod end;
mod events;

use std::pin::{Pin, pin};
use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::saturating_u32;
use mulberryyoke_wire::sse;
use tokio::time::Instant;

use self::end::End;
use self::events::Events;
use crate::backend::InFlight;
use crate::buffers::{Inlet, Outlet};
use crate::call::Call;
use crate::connection_pool::Connection;
use crate::core::Core;
use crate::dispatch::Attempts;
use crate::framing::Framing;
use crate::protocol::ResponseHead;
use crate::response_body::{BodyError, ResponseBody};
use crate::streams::start;
use crate::{clock, failure, quarantine, streams};

/// Pause after which a stream is resumed on another server, as a multiple of the route's maximum
/// gap between events. A server restarts a preempted request within this time.
const STALL_GAPS: u64 = 3;

/// A stream that is relayed from a server to the caller.
struct StreamRelay {
    core: Arc<Core>,
    call: Arc<Call>,
    in_flight: InFlight,
    body: Incoming,
    framing: Framing,
    events: Events,
    chunks: Outlet,
    relayed: u32,
    relayed_at: Instant,
    /// Longest pause between chunks, in milliseconds.
    max_pause_ms: u64,
    /// ID of the last event sent to the caller.
    last_event: Option<u64>,
    attempts: Attempts,
}

/// Spawns a task that relays a stream to its end, or until the receiver is dropped.
pub(crate) fn spawn(
    core: &Arc<Core>,
    call: &Arc<Call>,
    in_flight: InFlight,
    attempts: Attempts,
    (conn, response_head): (Connection, ResponseHead),
    (body, framing): (Incoming, Framing),
) -> Inlet {
    let (chunks, inlet) = Outlet::new(call.account.as_ref());
    let relay = StreamRelay {
        core: Arc::clone(core),
        call: Arc::clone(call),
        in_flight,
        body,
        framing,
        events: Events::default(),
        chunks,
        relayed: 0,
        relayed_at: Instant::now(),
        max_pause_ms: 0,
        last_event: attempts.last_event(call),
        attempts,
    };
    tokio::spawn(relay.run(conn, response_head));
    inlet
}

impl StreamRelay {
    async fn run(mut self, conn: Connection, response_head: ResponseHead) {
        let end = self.relay().await;
        if end == End::Stalled || (end.is_broken() && self.try_reserve_resumption()) {
            drop(conn);
            return self.resume(end).await;
        }
        let error = match end {
            End::Complete | End::CallerClosed | End::CallerCut => None,
            End::Truncated | End::Garbled | End::Stalled => Some(BodyError::Truncated),
            End::TimedOut => Some(BodyError::TimedOut),
            End::Stopping => Some(BodyError::Stopping),
        };
        self.log_end(end);
        self.record_start(end.label());
        if let Some(error) = error {
            self.chunks.fail(error).await;
        }
        match end {
            End::Complete => {
                failure::log_connection_end(&self.core, &self.call, &self.in_flight);
                quarantine::record_success(&self.core, &self.call, &self.in_flight);
                // Events are numbered and carry about a token each.
                if let Some(events) = self.last_event {
                    let tokens = u32::try_from(events).unwrap_or(u32::MAX);
                    self.in_flight.record_output(tokens);
                }
                self.in_flight.complete(conn, response_head);
            }
            End::Truncated | End::Garbled | End::Stalled => {
                drop(conn);
                let (core, call) = (&self.core, &self.call);
                failure::record(core, call, &self.in_flight, end.failure(), "");
                quarantine::record_failure(core, call, &self.in_flight).await;
            }
            End::TimedOut | End::CallerClosed | End::CallerCut => {
                drop(conn);
                quarantine::record_abandoned(&self.core, &self.call, &self.in_flight);
            }
            End::Stopping => drop(conn),
        }
    }

    /// Reserves an attempt to resume the stream; `false` if it can't be resumed or none is allowed.
    fn try_reserve_resumption(&self) -> bool {
        self.events.are_resumable() && self.attempts.try_reserve_retry(&self.core, &self.call)
    }

    /// Resumes the stream on another server after the last event that the caller received.
    async fn resume(mut self, end: End) {
        self.log_end(end);
        let (core, call) = (&Arc::clone(&self.core), &Arc::clone(&self.call));
        failure::record(core, call, &self.in_flight, end.failure(), "resuming");
        // What was received of an event is of no use, and the relay waits for the other server's end.
        self.events = Events::default();
        if end.is_broken() {
            quarantine::record_failure(core, call, &self.in_flight).await;
        } else {
            quarantine::check_silence(core, call, &self.in_flight).await;
        }
        let resumed = self.attempts.resume(core, call, self.last_event);
        let resumed: Pin<Box<dyn Future<Output = _> + Send + '_>> = Box::pin(resumed);
        let resumed = tokio::select! {
            biased;
            // A server that was asked meanwhile is told by the end of its connection.
            () = self.chunks.closed() => None,
            resumed = resumed => Some(resumed),
        };
        let outcome = match &resumed {
            Some(Ok(response)) if response.status().is_success() => "answered",
            Some(Ok(_)) => "failed",
            Some(Err(refusal)) => refusal.code(),
            None => self.caller_end().label(),
        };
        log!(core.logger, Event::Resumed,
            "request" => &call.id, "after" => self.last_event, "outcome" => outcome);
        let Some(resumed) = resumed else {
            return self.record_start(outcome);
        };
        // The body of a failure is no part of the stream.
        let resumed = resumed
            .ok()
            .filter(|response| response.status().is_success());
        let body = resumed.map(Response::into_body);
        let Some(ResponseBody::Stream(mut remaining)) = body else {
            self.record_start(End::Truncated.label());
            self.chunks.fail(BodyError::Truncated).await;
            return;
        };
        loop {
            let chunk = tokio::select! {
                biased;
                () = self.chunks.closed() => return,
                chunk = remaining.recv() => chunk,
            };
            let Some(chunk) = chunk else { return };
            // The account is the same, so the relay that sends these chunks pauses if it must.
            if self.chunks.forward(chunk).await.is_err() {
                return;
            }
        }
    }

    /// Relays events until the stream ends. The futures that may end it are created once, not for
    /// each event, which saves processor time.
    async fn relay(&mut self) -> End {
        let core = Arc::clone(&self.core);
        let chunks = self.chunks.clone();
        let mut closed = pin!(chunks.closed());
        let mut timed_out = pin!(clock::wait_until(self.call.deadline_ms));
        let mut stopping = pin!(core.shutdown.terminate.cancelled());
        let mut stall_deadline = self.stall_deadline();
        let mut stalled = pin!(clock::sleep_until_opt(stall_deadline));
        loop {
            if !self.chunks.may_read() {
                tokio::select! {
                    biased;
                    () = &mut closed => return self.caller_end(),
                    () = &mut timed_out => return End::TimedOut,
                    () = &mut stopping => return End::Stopping,
                    () = chunks.wait_until_readable() => {}
                }
                // The server was not read meanwhile, so it has not stalled.
                stall_deadline = self.stall_deadline();
                stalled.set(clock::sleep_until_opt(stall_deadline));
            }
            let frame = tokio::select! {
                biased;
                () = &mut closed => return self.caller_end(),
                frame = self.body.frame() => frame,
                () = &mut timed_out => return End::TimedOut,
                () = &mut stalled => {
                    if stall_deadline.is_some_and(|at| at <= Instant::now()) {
                        let may_abandon = self.attempts.may_abandon(&self.call);
                        if may_abandon && self.try_reserve_resumption() {
                            return End::Stalled;
                        }
                        quarantine::spawn_silence_check(&core, &self.call, &self.in_flight);
                        // No retry is left, and a slow response is better than none.
                        stall_deadline = None;
                    }
                    // Events may have moved the deadline since this timer was set.
                    stalled.set(clock::sleep_until_opt(stall_deadline));
                    continue;
                }
                () = &mut stopping => return End::Stopping,
            };
            let data = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                None => return self.end_of_body().await,
                Some(Err(_)) => return End::Truncated,
            };
            self.in_flight.backend.record_heard();
            let Some(events) = self.events.push(data) else {
                return End::Garbled;
            };
            if events.is_empty() {
                continue;
            }
            if sse::has_event(&events) {
                let is_timer_set = stall_deadline.is_some();
                stall_deadline = self.stall_deadline();
                if !is_timer_set {
                    stalled.set(clock::sleep_until_opt(stall_deadline));
                }
                self.record_events(&events);
            }
            if self.chunks.send(events).await.is_err() {
                return self.caller_end();
            }
        }
    }

    fn record_events(&mut self, events: &[u8]) {
        self.in_flight.record_first_token();
        quarantine::record_progress(&self.core, &self.call, &mut self.in_flight);
        if self.relayed == 0 {
            self.record_origin();
            self.record_start(start::BEGUN);
        }
        self.record_relayed();
        self.events.record(events);
        self.last_event = sse::last_id(events).or(self.last_event);
    }

    /// Records on which version the stream goes on, which binds all that follows.
    fn record_origin(&mut self) {
        let server = &self.in_flight.backend.server;
        self.attempts.bind_version(server.version);
        streams::record_origin(&self.core, &self.call, server);
    }

    /// Records how the stream started, if it did not start before.
    fn record_start(&self, outcome: &'static str) {
        let version = self.in_flight.backend.server.version;
        start::record(&self.core, &self.call, outcome, Some(version));
    }

    fn record_relayed(&mut self) {
        let now = Instant::now();
        if self.relayed > 0 {
            let pause_ms = clock::between_ms(self.relayed_at, now);
            self.max_pause_ms = self.max_pause_ms.max(pause_ms);
        }
        self.relayed += 1;
        self.relayed_at = now;
    }

    /// Returns when the stream counts as stalled, or `None` if its route allows pauses of any length.
    fn stall_deadline(&self) -> Option<Instant> {
        let gap_ms = self.call.route.max_gap_ms?;
        Some(clock::after(Instant::now(), STALL_GAPS * gap_ms))
    }

    fn log_end(&self, end: End) {
        let elapsed_ms = clock::between_ms(self.call.received_at, Instant::now());
        log!(self.core.logger, Event::Streamed,
            "request" => &self.call.id,
            "server" => &self.in_flight.backend.server.name,
            "end" => end.label(),
            "pieces" => self.relayed,
            "expected_ms" => saturating_u32(self.in_flight.expected_ms()),
            "first_token_ms" => self.in_flight.first_token_ms(),
            "pause_ms" => self.max_pause_ms,
            "elapsed_ms" => elapsed_ms);
        metrics::counter!("streams_total", "end" => end.label()).increment(1);
    }
}
