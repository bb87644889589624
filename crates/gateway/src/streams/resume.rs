//! On which version a stream that its caller resumes must go on.

use std::sync::Arc;

use mulberryyoke_decide::stream::Origin;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::VersionId;

use super::archive;
use super::ask::{self, Answer};
use super::update;
use crate::call::Call;
use crate::core::Core;
use crate::refusal::Refusal;

/// Returns the version on which the request must run, if it resumes a stream.
pub(crate) async fn required_version(
    core: &Arc<Core>,
    call: &Call,
) -> Result<Option<VersionId>, Refusal> {
    if !call.asks_to_resume() {
        return Ok(None);
    }
    // Servers may have been registered since the last update.
    update(core);
    let known = call
        .resumed_stream
        .and_then(|stream| core.streams.get(stream));
    let is_mixed = core.streams.is_mixed(call.pool);
    let answer = match (known, call.resumed_stream) {
        (Some(origin), _) => Answer::Known(origin),
        (None, Some(stream)) if is_mixed => ask::ask(core, stream, call.remaining_ms()).await,
        (None, _) => Answer::Unknown,
    };
    let answer = match answer {
        Answer::Unknown
            if is_mixed && call.resumed_stream.is_some() && archive::may_know_more(core) =>
        {
            Answer::Unanswered
        }
        answer => answer,
    };
    let (result, outcome) = decide(call, answer, known, is_mixed);
    record(core, call, result, outcome);
    if let Ok(Some(version)) = result {
        return Ok(Some(*call.origin.get_or_init(|| version)));
    }
    result
}

/// Returns the version, or why the request is refused, and the outcome as a label.
fn decide(
    call: &Call,
    answer: Answer,
    known: Option<Origin>,
    is_mixed: bool,
) -> (Result<Option<VersionId>, Refusal>, &'static str) {
    match answer {
        Answer::Known(origin) if origin.pool == call.pool => {
            let outcome = if known.is_some() { "known" } else { "asked" };
            (Ok(Some(origin.version)), outcome)
        }
        // The route has been moved to another pool.
        Answer::Known(_) => (Err(Refusal::VersionGone), "moved"),
        _ if !is_mixed => (Ok(None), "one_version"),
        Answer::Unknown => (Err(Refusal::VersionUnknown), "unknown"),
        Answer::Unanswered => (Err(Refusal::VersionUnanswered), "unanswered"),
    }
}

/// Records where a resumption goes and why, and what this gateway knew of its pool's versions.
fn record(
    core: &Core,
    call: &Call,
    result: Result<Option<VersionId>, Refusal>,
    outcome: &'static str,
) {
    metrics::counter!("stream_resumes_total", "outcome" => outcome).increment(1);
    let known = core.streams.knowledge(core, call.pool);
    log!(core.logger, Event::ResumeDecided,
        "request" => &call.id,
        "pool" => call.pool.0,
        "outcome" => outcome,
        "version" => result.ok().flatten().map(|version| format!("{:08x}", version.0)),
        "registered" => known.registered,
        "observed" => known.observed,
        "told" => known.told,
        "seen_age_ms" => known.age_ms,
        "view_age_ms" => core.view.age_ms());
    if let Err(refusal) = result {
        log!(core.logger, Event::ResumeRefused,
            "request" => &call.id,
            "code" => refusal.code(),
            "after" => call.resume_after,
            "named" => call.resumed_stream.is_some());
    }
}
