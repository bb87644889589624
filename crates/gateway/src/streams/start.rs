//! How streams start that callers can resume: what tells resumptions by callers from new streams.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use hyper::Response;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::VersionId;
use tokio::time::Instant;

use crate::call::Call;
use crate::clock;
use crate::config::RequestKind;
use crate::core::Core;
use crate::outcome::Outcome;
use crate::refusal::Refusal;
use crate::response_body::ResponseBody;

/// Outcome of a stream whose first event was relayed.
pub(crate) const BEGUN: &str = "begun";

/// Dispatch of a stream that callers can resume. Records the start of a stream whose caller closes
/// the connection before the dispatch has ended.
#[derive(Debug)]
pub(crate) struct Start {
    core: Arc<Core>,
    call: Arc<Call>,
    version: Option<VersionId>,
    outcome: Option<&'static str>,
}

impl Start {
    /// Observes a dispatch; `None` if callers cannot resume the response.
    pub(crate) fn observe(core: &Arc<Core>, call: &Arc<Call>) -> Option<Self> {
        (call.route.kind == RequestKind::Resumable).then(|| Self {
            core: Arc::clone(core),
            call: Arc::clone(call),
            version: None,
            outcome: Some("hung_up"),
        })
    }

    /// Sets the version on which the stream must go on.
    pub(crate) const fn require(&mut self, version: Option<VersionId>) {
        self.version = version;
    }

    /// Records the result of the dispatch, unless the relay of a stream records it.
    pub(crate) fn end(mut self, result: Result<&Response<ResponseBody>, Refusal>) {
        self.outcome = match result {
            Ok(response) if matches!(response.body(), ResponseBody::Stream(_)) => None,
            Ok(_) => Some("server_error"),
            Err(refusal) => Some(refusal.code()),
        };
    }
}

impl Drop for Start {
    fn drop(&mut self) {
        if let Some(outcome) = self.outcome {
            record(&self.core, &self.call, outcome, self.version);
        }
    }
}

/// Records how a stream started, unless that was recorded before. `version` is that of the server,
/// or the one that a refused resumption requires.
pub(crate) fn record(core: &Core, call: &Call, outcome: &'static str, version: Option<VersionId>) {
    let is_resumable = call.route.kind == RequestKind::Resumable;
    if !is_resumable || call.is_start_recorded.swap(true, Ordering::Relaxed) {
        return;
    }
    let is_mixed = core.streams.is_mixed(call.pool);
    let versions = if is_mixed { "several" } else { "one" };
    metrics::counter!("stream_starts_total",
        "stream" => label(call), "versions" => versions, "outcome" => outcome)
    .increment(1);
    if !is_mixed && call.resume_after.is_none() {
        return;
    }
    log!(core.logger, Event::StreamStart,
        "request" => &call.id,
        "stream" => label(call),
        "outcome" => outcome,
        "version" => version.map(|version| format!("{:08x}", version.0)),
        "after" => call.resume_after,
        "elapsed_ms" => clock::between_ms(call.received_at, Instant::now()));
}

/// Counts an attempt that no server ran.
pub(crate) fn record_not_run(call: &Call, outcome: &Outcome) {
    if call.route.kind == RequestKind::Resumable {
        metrics::counter!("stream_attempts_not_run_total",
            "stream" => label(call), "cause" => outcome.label())
        .increment(1);
    }
}

/// Counts a wait in the gateway.
pub(crate) fn record_wait(call: &Call, outcome: &'static str) {
    if call.route.kind == RequestKind::Resumable {
        metrics::counter!("stream_waits_total", "stream" => label(call), "outcome" => outcome)
            .increment(1);
    }
}

/// Whether a caller resumes the stream, as a label.
const fn label(call: &Call) -> &'static str {
    if call.resume_after.is_some() {
        "resumed"
    } else {
        "new"
    }
}
