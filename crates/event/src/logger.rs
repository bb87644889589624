//! Log initialization.

use std::io;
use std::sync::Mutex;

use slog::{Drain, Logger, o};

use crate::rate_limit;
use crate::sink::Sink;

/// Lines buffered while the output is slow; further lines are dropped and counted.
const CHANNEL_LINES: usize = 8192;

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// One JSON object per line.
    Json,
    /// Human-readable text.
    Terminal,
}

/// Opens a log on standard error.
pub fn open(format: Format, node: &str) -> Logger {
    let node = node.to_owned();
    match format {
        Format::Json => {
            let drain = slog_json::Json::default(io::stderr()).fuse();
            let drain = slog_async::Async::new(drain)
                .chan_size(CHANNEL_LINES)
                .build()
                .fuse();
            Logger::root(drain, o!("node" => node))
        }
        Format::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            let drain = slog_async::Async::new(drain)
                .chan_size(CHANNEL_LINES)
                .build()
                .fuse();
            Logger::root(drain, o!("node" => node))
        }
    }
}

/// Maximum number of log lines about single requests per second; above the rate of an
/// entry VM under regular peak load.
const REQUEST_LINES_PER_S: u32 = 300;

/// Opens a JSON log on standard output. Logging never blocks: lines are dropped and
/// counted if the buffer is full, and lines about single requests are rate-limited.
pub fn open_stdout(node: &str) -> Logger {
    rate_limit::set_limit(REQUEST_LINES_PER_S);
    let drain = slog_json::Json::new(Sink::spawn())
        .add_default_keys()
        .set_newlines(true)
        .build();
    let drain = Mutex::new(drain).fuse();
    Logger::root(drain, o!("node" => node.to_owned()))
}
