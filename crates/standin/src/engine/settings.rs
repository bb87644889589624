//! Settings of an engine.

use std::time::Duration;

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Names of the models it serves.
    pub models: Vec<String>,
    /// Requests run at once; more wait in order of arrival.
    pub batch_size: usize,
    /// Time of one token.
    pub token_time: Duration,
    /// Time to read one prompt block that is not cached.
    pub prefill_time: Duration,
    /// Prompt blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Age of the load report.
    pub load_interval: Duration,
    /// How long a stream without readers goes on before it is cancelled.
    pub resume_timeout: Duration,
    /// Whether orders with an old fencing number are refused.
    pub fencing: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            models: vec!["assistant".to_owned()],
            batch_size: 8,
            token_time: Duration::from_millis(10),
            prefill_time: Duration::from_millis(1),
            cache_blocks: 1024,
            load_interval: Duration::from_millis(500),
            resume_timeout: Duration::from_secs(1),
            fencing: true,
        }
    }
}
