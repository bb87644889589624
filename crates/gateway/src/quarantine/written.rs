//! Values of convictions in the key-value service.

use mulberryyoke_decide::quarantine::parts::{Report, Subject};
use mulberryyoke_decide::quarantine::{Crash, Suspect};
use mulberryyoke_model::{Digest, ServerId};

/// Formats the crashes that convict a request: the server instances. Empty if it was cleared.
pub(super) fn encode_request(servers: impl IntoIterator<Item = ServerId>) -> String {
    let instances: Vec<String> = servers
        .into_iter()
        .map(|server| server.0.to_string())
        .collect();
    instances.join(" ")
}

/// Parses the crashes that convict a request.
pub(super) fn parse_request(digest: Digest, value: &[u8]) -> Option<Suspect> {
    let instances = std::str::from_utf8(value).ok()?.split_whitespace();
    let crashes = instances.map(|instance| {
        Some(Crash {
            server: ServerId(instance.parse().ok()?),
            age_ms: 0,
        })
    });
    Some(Suspect {
        digest,
        crashes: crashes.collect::<Option<_>>()?,
        success_age_ms: None,
    })
}

/// Formats the crashes that convict a prompt part: the server instances, each with the time from its
/// crash to the last one. Empty if it was cleared.
pub(super) fn encode_part(crashes: &[Crash]) -> String {
    let last_age_ms = crashes.iter().map(|crash| crash.age_ms).min();
    let last_age_ms = last_age_ms.unwrap_or(0);
    let crashes = crashes
        .iter()
        .map(|crash| format!("{}:{}", crash.server.0, crash.age_ms - last_age_ms));
    crashes.collect::<Vec<String>>().join(" ")
}

/// Parses the crashes that convict a prompt part, as if the last one were now.
pub(super) fn parse_part(subject: Subject, value: &[u8]) -> Option<Report> {
    let crashes = std::str::from_utf8(value).ok()?.split_whitespace();
    let crashes = crashes.map(|crash| {
        let (server, age_ms) = crash.split_once(':')?;
        Some(Crash {
            server: ServerId(server.parse().ok()?),
            age_ms: age_ms.parse().ok()?,
        })
    });
    Some(Report {
        crashes: crashes.collect::<Option<_>>()?,
        ..Report::new(subject)
    })
}
