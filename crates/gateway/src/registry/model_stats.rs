//! The model servers as a whole.

/// The model servers as a whole.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ModelStats {
    /// Time until those that take prompts would begin to read one sent now, on average, in
    /// milliseconds; 0 without any.
    pub(crate) wait_ms: f64,
    /// The part of them that takes prompts; 1 without any.
    pub(crate) accepting_ratio: f64,
}
