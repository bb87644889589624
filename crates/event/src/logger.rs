//! Opening the log.

use std::io;
use std::sync::Mutex;

use slog::{Drain, Logger, o};

use crate::rate_limit;
use crate::sink::Sink;

/// Lines kept while the output is slow; more are dropped and counted in the log.
const BACKLOG: usize = 8192;

/// Form of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// One JSON object a line.
    Json,
    /// Text for people.
    Terminal,
}

/// Opens a log on standard error for a named node.
pub fn open(form: Format, node: &str) -> Logger {
    let node = node.to_owned();
    match form {
        Format::Json => {
            let drain = slog_json::Json::default(io::stderr()).fuse();
            let drain = slog_async::Async::new(drain)
                .chan_size(BACKLOG)
                .build()
                .fuse();
            Logger::root(drain, o!("node" => node))
        }
        Format::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            let drain = slog_async::Async::new(drain)
                .chan_size(BACKLOG)
                .build()
                .fuse();
            Logger::root(drain, o!("node" => node))
        }
    }
}

/// Lines about requests that are written a second: every line of an entry VM on a
/// busy day, at about 300 bytes; a flood of refusals causes many times more.
const REQUEST_LINES: u32 = 300;

/// Opens a log in JSON on the standard output for a named node. Lines are never
/// waited for: those that find no room are dropped and counted, and so are lines
/// about requests beyond some hundred a second.
pub fn open_stdout(node: &str) -> Logger {
    rate_limit::set_limit(REQUEST_LINES);
    let drain = slog_json::Json::new(Sink::spawn())
        .add_default_keys()
        .set_newlines(true)
        .build();
    let drain = Mutex::new(drain).fuse();
    Logger::root(drain, o!("node" => node.to_owned()))
}
