//! Transfer of cached prompt parts between servers.

/// Time to set up a transfer, in milliseconds.
const SETUP_MS: f64 = 3.0;

/// Link over which the servers of a pool fetch cached prompt parts from each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// Size of a cached token, in bytes.
    pub token_bytes: u32,
    /// Speed of the link, in megabits per second.
    pub link_mbps: u32,
}

impl Transfer {
    /// Duration of a transfer, in milliseconds.
    #[must_use]
    pub fn duration_ms(self, tokens: u32) -> f64 {
        let bits = f64::from(tokens) * f64::from(self.token_bytes) * 8.0;
        SETUP_MS + bits / (f64::from(self.link_mbps.max(1)) * 1_000.0)
    }
}
