//! Human-readable and JSON output.

mod table;
mod time;

pub(crate) use table::Table;
pub(crate) use time::{elapsed, timestamp};

use mulberryyoke_command::api::{Output, WriteResult};
use serde_json::Value;

/// Prints the output of a command as JSON, with additional members.
pub(crate) fn json(output: &Output, members: &[(&str, Value)]) {
    let mut body = serde_json::json!({ "ok": true, "answer": output });
    for (name, value) in members {
        body[*name] = value.clone();
    }
    println!("{body:#}");
}

/// Prints the result of a change.
pub(crate) fn write_result(result: &WriteResult) {
    let WriteResult { key, revision, .. } = result;
    let effect = match (result.unchanged, result.repeated) {
        (_, true) => "already accepted",
        (true, false) => "unchanged",
        (false, false) => "accepted",
    };
    println!("{key}: {effect} at revision {revision}");
    if let Some(later) = result.replaced {
        println!("{key}: since replaced by revision {later}");
    }
}
