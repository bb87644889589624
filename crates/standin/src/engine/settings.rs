//! Engine settings.

use std::time::Duration;

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Models that it serves.
    pub models: Vec<String>,
    /// Maximum number of concurrent requests. Further requests wait in order of arrival.
    pub batch_size: usize,
    /// Time to generate a token.
    pub token_time: Duration,
    /// Time to prefill a prompt block that is not cached.
    pub prefill_time: Duration,
    /// Capacity of the prefix cache, in prompt blocks.
    pub cache_blocks: usize,
    /// Interval between updates of the load report.
    pub load_interval: Duration,
    /// Time after which a stream without readers is cancelled, and for which a complete response
    /// stays readable.
    pub resume_timeout: Duration,
    /// Whether commands with a stale fencing token are rejected.
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
