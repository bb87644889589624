//! Settings of an engine.

use std::time::Duration;

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Names of the models it serves.
    pub models: Vec<String>,
    /// Requests run at once; more wait in order of arrival.
    pub batch: usize,
    /// Time of one token.
    pub token: Duration,
    /// Time to read one prompt block that is not cached.
    pub block: Duration,
    /// Prompt blocks that the prefix cache holds.
    pub cache: usize,
    /// Age of the load report.
    pub lag: Duration,
    /// How long a stream without readers goes on before it is cancelled.
    pub keep: Duration,
    /// Whether orders with an old fencing number are refused.
    pub fencing: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            models: vec!["assistant".to_owned()],
            batch: 8,
            token: Duration::from_millis(10),
            block: Duration::from_millis(1),
            cache: 1024,
            lag: Duration::from_millis(500),
            keep: Duration::from_secs(1),
            fencing: true,
        }
    }
}
