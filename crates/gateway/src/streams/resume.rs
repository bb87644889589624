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

/// What may still tell on which version a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// The records of the pool's versions.
    Records,
    /// The archive of origins.
    Archive,
    None,
}

/// What was found out about a resumption.
#[derive(Clone, Copy, Debug)]
struct Finding {
    answer: Answer,
    /// Whether the origin was known here.
    is_known: bool,
    /// The only version on which a stream of the pool can have begun.
    only: Option<VersionId>,
    /// What may still tell a stream that nobody knows.
    source: Source,
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
    let is_single = !core.streams.is_mixed(call.pool) && only_version(core, call).is_some();
    // A version may have been recorded since.
    let must_ask = !is_single || !core.view.is_fresh();
    let answer = match (known, call.resumed_stream) {
        (Some(origin), _) => Answer::Known(origin),
        (None, Some(stream)) if must_ask => ask::ask(core, stream, call.remaining_ms()).await,
        (None, _) => Answer::Unknown,
    };
    let is_mixed = core.streams.is_mixed(call.pool);
    let only = only_version(core, call).filter(|_| {
        let is_fresh = core.view.is_fresh();
        match answer {
            // Nothing is asked about a stream that the caller does not name.
            Answer::Unknown if call.resumed_stream.is_none() => !is_mixed && is_fresh,
            Answer::Unknown => !is_mixed || is_fresh,
            // A copy that nobody renews is that of a service that is away, where no version is new.
            Answer::Partial => !is_mixed,
            Answer::Known(_) | Answer::Unanswered => false,
        }
    });
    let source = match core.streams.recorded.conclude(call.pool) {
        // Versions may be recorded that a stale copy lacks.
        Conclusion::None | Conclusion::Only(_) if only.is_none() => Source::Records,
        _ if only.is_some() || answer != Answer::Unknown || call.resumed_stream.is_none() => {
            Source::None
        }
        _ if archive::may_know_more(core) => Source::Archive,
        _ => Source::None,
    };
    Finding {
        answer: look_again(core, call, answer),
        is_known: known.is_some(),
        only,
        source,
    }
}

/// The only version of the pool that is recorded, on which alone its streams can have begun.
fn only_version(core: &Core, call: &Call) -> Option<VersionId> {
    match core.streams.recorded.conclude(call.pool) {
        Conclusion::Only(version) => Some(version),
        Conclusion::Several | Conclusion::None => None,
    }
}

/// Looks for an origin that a read of the archive has brought while others were asked.
fn look_again(core: &Core, call: &Call, answer: Answer) -> Answer {
    let known = call
        .resumed_stream
        .and_then(|stream| core.streams.get(stream));
    known.map_or(answer, Answer::Known)
}

/// Returns the version, or why the request is refused, and the outcome as a label.
fn decide(
    core: &Core,
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
        (Answer::Partial | Answer::Unanswered, None) => {
            (Err(Refusal::VersionUnanswered), "unanswered")
        }
        (Answer::Unknown, None) => match finding.source {
            Source::Records => (Err(Refusal::VersionUnanswered), "unrecorded"),
            Source::Archive => (Err(Refusal::VersionUnanswered), "archive_pending"),
            Source::None => (Err(Refusal::VersionUnknown), "unknown"),
        },
    }
}

/// Whether a server of the version stays. The only version of a pool returns if it has none.
fn has_server(core: &Core, call: &Call, version: VersionId) -> bool {
    let servers = core.registry.of_version(call.pool, version);
    servers.iter().any(|backend| !backend.is_closed())
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
