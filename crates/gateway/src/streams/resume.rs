//! On which version a stream that its caller resumes must go on.

use std::sync::Arc;

use mulberryyoke_decide::stream::Conclusion;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::VersionId;

use super::ask::{self, Answer};
use super::{archive, update};
use crate::call::Call;
use crate::core::Core;
use crate::refusal::Refusal;

/// What was found out about a resumption.
#[derive(Clone, Copy, Debug)]
struct Finding {
    answer: Answer,
    /// Whether the origin was known here.
    is_known: bool,
    /// The only version on which a stream of the pool can have begun.
    only: Option<VersionId>,
    /// Why the origin may be known later, as a label.
    pending: Option<&'static str>,
}

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
    let finding = find(core, call).await;
    let (result, outcome) = decide(core, call, finding);
    record(core, call, result, outcome);
    // What only the records tell does not show that the stream has begun.
    if let Answer::Known(_) = finding.answer
        && let Ok(version) = result
    {
        return Ok(Some(*call.origin.get_or_init(|| version)));
    }
    result.map(Some)
}

async fn find(core: &Arc<Core>, call: &Call) -> Finding {
    let known = call
        .resumed_stream
        .and_then(|stream| core.streams.get(stream));
    let conclusion = core.streams.recorded.conclude(call.pool);
    let is_mixed = core.streams.is_mixed(call.pool);
    let only = match conclusion {
        Conclusion::Only(version) if !is_mixed => Some(version),
        _ => None,
    };
    // A version may have been recorded since.
    let must_ask = only.is_none() || !core.view.is_fresh();
    let answer = match (known, call.resumed_stream) {
        (Some(origin), _) => Answer::Known(origin),
        (None, Some(stream)) if must_ask => ask::ask(core, stream, call.remaining_ms()).await,
        (None, _) => Answer::Unknown,
    };
    // No version of the pool is recorded, or versions beside the recorded one are about to be, or were.
    let is_unrecorded = match conclusion {
        Conclusion::None => true,
        Conclusion::Only(_) => is_mixed,
        Conclusion::Several => false,
    };
    let pending = if is_unrecorded {
        Some("unrecorded")
    } else {
        let may_know_more = only.is_none() && may_know_more(core, call, answer);
        may_know_more.then_some("archive_pending")
    };
    Finding {
        answer: look_again(core, call, answer),
        is_known: known.is_some(),
        only,
        pending,
    }
}

/// Returns the version, or why the request is refused, and the outcome as a label.
fn decide(
    core: &Arc<Core>,
    call: &Call,
    finding: Finding,
) -> (Result<VersionId, Refusal>, &'static str) {
    match (finding.answer, finding.only) {
        (Answer::Known(origin), _) if origin.pool == call.pool => {
            let outcome = if finding.is_known { "known" } else { "asked" };
            (Ok(origin.version), outcome)
        }
        // The route has been moved to another pool.
        (Answer::Known(_), _) => (Err(Refusal::VersionGone), "moved"),
        (_, Some(version)) if !has_server(core, call, version) => {
            (Err(Refusal::NO_SERVER), "no_server")
        }
        (_, Some(version)) => (Ok(version), "one_version"),
        (Answer::Unanswered, None) => (Err(Refusal::VersionUnanswered), "unanswered"),
        (Answer::Unknown, None) => match finding.pending {
            Some(outcome) => (Err(Refusal::VersionUnanswered), outcome),
            None => (Err(Refusal::VersionUnknown), "unknown"),
        },
    }
}

/// Whether a server of the version stays. The only version of a pool returns if it has none.
fn has_server(core: &Core, call: &Call, version: VersionId) -> bool {
    let servers = core.registry.of_version(call.pool, version);
    servers.iter().any(|backend| !backend.is_closed())
}

/// Whether the stream, if the caller names it, may be known later.
fn may_know_more(core: &Arc<Core>, call: &Call, answer: Answer) -> bool {
    let is_unknown = answer == Answer::Unknown && call.resumed_stream.is_some();
    is_unknown && archive::may_know_more(core)
}

/// Looks for an origin that a read of the archive has brought while others were asked.
fn look_again(core: &Core, call: &Call, answer: Answer) -> Answer {
    if let Answer::Known(_) = answer {
        return answer;
    }
    let known = call
        .resumed_stream
        .and_then(|stream| core.streams.get(stream));
    known.map_or(answer, Answer::Known)
}

/// Records where a resumption goes and why, and what this gateway knew of its pool's versions.
fn record(core: &Core, call: &Call, result: Result<VersionId, Refusal>, outcome: &'static str) {
    metrics::counter!("stream_resumes_total", "outcome" => outcome).increment(1);
    let known = core.streams.knowledge(core, call.pool);
    log!(core.logger, Event::ResumeDecided,
        "request" => &call.id,
        "pool" => call.pool.0,
        "outcome" => outcome,
        "version" => result.ok().map(|version| format!("{:08x}", version.0)),
        "registered" => known.registered,
        "recorded" => known.recorded,
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
