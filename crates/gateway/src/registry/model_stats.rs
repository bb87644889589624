//! Statistics of the model servers.

/// Statistics of the model servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ModelStats {
    /// Mean queueing time of a prompt at the accepting servers, in milliseconds; 0 without any.
    pub(crate) wait_ms: f64,
    /// Fraction of the servers that accept prompts; 1 without any.
    pub(crate) accepting_ratio: f64,
}
