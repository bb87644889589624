//! Output for people and for programs.

mod table;
mod time;

pub(crate) use table::Table;
pub(crate) use time::{since, stamp};

use mulberryyoke_command::api::{Output, WriteResult};
use serde_json::Value;

/// Prints an answer as JSON, with further members.
pub(crate) fn json(answer: &Output, more: &[(&str, Value)]) {
    let mut body = serde_json::json!({ "ok": true, "answer": answer });
    for (name, value) in more {
        body[*name] = value.clone();
    }
    println!("{body:#}");
}

/// Prints an accepted change in a line.
pub(crate) fn written(written: &WriteResult) {
    let WriteResult { key, revision, .. } = written;
    let what = match (written.unchanged, written.repeated) {
        (_, true) => "was accepted before",
        (true, false) => "is so already",
        (false, false) => "accepted",
    };
    println!("{key}: {what} at revision {revision}");
    if let Some(later) = written.replaced {
        println!("{key}: replaced since by revision {later}");
    }
}
